package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishstand/radishstand/node/process/choice"
)

// CandidateView describes a server of a service for an operator.
type CandidateView struct {
	Node, ServerID, Place string
	// Unusable is the reason why the server is no candidate; empty for a candidate. If it is set, Chosen, Candidate, Reported and Terms are
	// not.
	Unusable  string
	Evacuated bool
	Chosen    bool
	Candidate choice.Candidate
	// Reported is set if the candidate has a load report.
	Reported bool
	Terms    choice.Terms
}

// Preview is what Pick would choose.
type Preview struct {
	Picked PickResult
	// Chosen is the view of the server that would be picked.
	Chosen CandidateView
	// Shares is the share of the call's class that leaves for each other place; nil if no Leaver decides.
	Shares map[string]float64
}

// PreviewPick returns what Pick would return without its random variation. It changes nothing.
func (p *Set) PreviewPick(service string, call choice.Call, exclude, refused []*Server) (Preview, error) {
	usable, candidates := p.candidates(service, exclude, refused)
	if len(usable) == 0 {
		return Preview{}, ErrNoServer
	}
	var preview Preview
	if p.config.Leaving.active() {
		call.Service = service
		decision, shares := p.config.Leaving.Leaver.Preview(candidates, call)
		preview.Picked, preview.Shares = resultOfLeaving(usable, candidates, decision), shares
	} else {
		preview.Picked = resultOf(usable, candidates, choice.Preview(candidates, call))
	}
	i := slices.Index(usable, preview.Picked.Server)
	preview.Chosen = usable[i].view(candidates[i], choice.AllTerms(candidates, call, p.config.Leaving.active())[i])
	preview.Chosen.Chosen = true
	return preview, nil
}

// PreviewPickWithRoom returns what PickWithRoom would return without its random variation. It changes nothing.
func (p *Set) PreviewPickWithRoom(service string, call choice.Call, exclude, refused []*Server) (Preview, error) {
	return p.PreviewPick(service, call, p.withoutRoom(service, exclude, refused), nil)
}

// Candidates returns the servers of a service: the usable ones by their expected time, then the others by node.
func (p *Set) Candidates(service string, call choice.Call) []CandidateView {
	usable, candidates := p.candidates(service, nil, nil)
	terms := choice.AllTerms(candidates, call, p.config.Leaving.active())
	var views []CandidateView
	for i, s := range usable {
		views = append(views, s.view(candidates[i], terms[i]))
	}
	slices.SortFunc(views, func(a, b CandidateView) int { return cmp.Compare(a.Terms.Total(), b.Terms.Total()) })
	others := p.unusableServers(service, usable)
	slices.SortFunc(others, func(a, b CandidateView) int { return cmp.Compare(a.Node, b.Node) })
	return append(views, others...)
}

// view returns the CandidateView of a usable server.
func (s *Server) view(c choice.Candidate, terms choice.Terms) CandidateView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CandidateView{
		Node: s.Address(), ServerID: s.state.GetServerId(), Place: s.state.GetPlace(), Candidate: c, Reported: s.load != nil, Terms: terms,
	}
}

// unusableServers returns the servers of a service that are no candidates. Without a link, the service of a server is not known.
func (p *Set) unusableServers(service string, usable []*Server) []CandidateView {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := time.Now()
	all := []*Server{p.local}
	for _, known := range p.peers {
		all = append(all, known.server)
	}
	var views []CandidateView
	for _, s := range all {
		evacuated := p.isEvacuated(s)
		if v, ofService := s.unusableView(service, evacuated, now); ofService && !slices.Contains(usable, s) {
			views = append(views, v)
		}
	}
	return views
}

func (s *Server) unusableView(service string, evacuated bool, now time.Time) (CandidateView, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	why := s.unusable(now)
	switch {
	case evacuated:
		why = "its place is evacuated"
	case why == "":
		why = "its state has just changed"
	}
	return CandidateView{
		Node: s.Address(), ServerID: s.state.GetServerId(), Place: s.state.GetPlace(), Unusable: why, Evacuated: evacuated,
	}, s.state.GetService() == service
}

// Unlinked returns the sorted addresses of the known nodes without a link. Their servers are not known.
func (p *Set) Unlinked() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var addresses []string
	for address, known := range p.peers {
		if !known.server.linked() {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
