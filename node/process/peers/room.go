package peers

import (
	"slices"
	"time"

	"github.com/radishstand/radishstand/node/process/choice"
)

// PickWithRoom is like Pick, but chooses only servers that have not refused the call and whose last load report, with the calls sent
// since, shows that a call could start at once.
func (p *Set) PickWithRoom(service string, call choice.Call, exclude, refused []*Server) (PickResult, error) {
	return p.Pick(service, call, p.withoutRoom(service, exclude, refused), nil)
}

// withoutRoom returns the servers that PickWithRoom does not choose.
func (p *Set) withoutRoom(service string, exclude, refused []*Server) []*Server {
	now := time.Now()
	without := slices.Concat(exclude, refused)
	for _, s := range p.servers(service) {
		c, usable := s.candidate(service, p.config.Hello.Place, now)
		if !usable || !c.HasRoom() {
			without = append(without, s)
		}
	}
	return without
}
