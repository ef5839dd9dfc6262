package localserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

const (
	// answerGrace is the time after a call's deadline for which the node still waits for the server's answer.
	answerGrace = 300 * time.Millisecond
)

// Serve runs a call at the server and passes the frame that ends it to reply. The memory of an answer is held until reply
// returns. When ctx ends, a waiting call is removed from the queue and an idempotent one is aborted; other calls continue
// until their deadline, so that their outcome is known.
func (s *Server) Serve(ctx context.Context, call *linkpb.Call, reply func(*linkpb.Frame)) {
	frame, response := s.run(ctx, call)
	if response != nil {
		defer response.Release()
	}
	reply(frame)
}

// run waits for a slot and runs a call. The response is nil when there was no answer.
func (s *Server) run(ctx context.Context, call *linkpb.Call) (*linkpb.Frame, *exchange.Response) {
	job, arrived := newJob(call, s.config.Now()), s.config.Boottime()
	s.adoptRate(call)
	if refusal := s.refuseForDependency(call); refusal != nil {
		return refusal, nil
	}
	if err := s.admit(ctx, job); err != nil {
		return s.refusalOf(err), nil
	}
	answered := false
	defer func() { s.dispatcher.Done(job, answered) }()
	if ctx.Err() != nil { // the sender may tell the caller that a cancelled call has not run
		return s.refusalOf(&dispatch.Refused{Reason: dispatch.Cancelled}), nil
	}
	client := s.clientFor(call.ServerId)
	if client == nil {
		return s.refusalOf(&dispatch.Refused{Reason: dispatch.NoServer}), nil
	}
	s.inProgress.add(call)
	defer func() { s.endInProgress(call, answered) }()
	remaining := time.Duration(call.LeftMs)*time.Millisecond - (s.config.Boottime() - arrived)
	sentAt := s.config.Now()
	response, err := s.send(ctx, client, call, remaining)
	if err != nil {
		s.observeFailure(client, err)
		return s.failureFrame(call.ServerId, err), nil
	}
	leaving := s.observe(serverAnswer{response: response, client: client, request: call.Id, sentAt: sentAt})
	f := s.answerFrame(call.ServerId, response)
	setLeaving(f, leaving)
	answered = f.GetAnswer() != nil && response.Status < http.StatusInternalServerError
	return f, response
}

// newJob returns the job of a call that arrived at a time.
func newJob(call *linkpb.Call, arrivedAt time.Time) *dispatch.Job {
	return &dispatch.Job{
		Route: call.Route, Rank: int(call.Rank), Nested: call.Nested, NoRedirect: call.Stay,
		Team: call.Team, ParentRank: int(call.ParentRank),
		RedirectAbove: time.Duration(call.ReferMs) * time.Millisecond,
		Objective:     arrivedAt.Add(time.Duration(call.ObjectiveMs) * time.Millisecond),
		Deadline:      arrivedAt.Add(time.Duration(call.LeftMs) * time.Millisecond),
	}
}

// admit waits for a slot.
func (s *Server) admit(ctx context.Context, job *dispatch.Job) error {
	decided := make(chan error, 1)
	s.dispatcher.Submit(job, func(err error) { decided <- err })
	select { // most calls are decided immediately
	case err := <-decided:
		return err
	default:
	}
	s.sweeper.schedule()
	select {
	case err := <-decided:
		return err
	case <-ctx.Done():
		s.dispatcher.Cancel(job)
		err := <-decided
		if err == nil { // it was started in the meantime
			s.dispatcher.Done(job, false)
			return &dispatch.Refused{Reason: dispatch.Cancelled}
		}
		return err
	}
}

// clientOf returns the client of the server with the given ID, or nil if it is not the current one.
func (s *Server) clientOf(id string) *exchange.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ID != id {
		return nil
	}
	return s.client
}

// clientFor returns the client of the server with the given ID, or nil if it is not the current one or does not accept
// calls.
func (s *Server) clientFor(id string) *exchange.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ID != id || !s.state.Is(stateReady) || s.evacuated {
		return nil
	}
	return s.client
}

// send sends a call for which the given time is left. That counts the time for which the host was suspended while the call
// waited.
func (s *Server) send(
	ctx context.Context, client *exchange.Client, call *linkpb.Call, remaining time.Duration,
) (*exchange.Response, error) {
	if !call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	if remaining <= 0 {
		return nil, &exchange.NotSentError{Cause: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+answerGrace)
	defer cancel()
	names := s.config.Names
	header := make(http.Header, len(call.Header)+4)
	for _, h := range call.Header {
		header.Add(h.Name, string(h.Value))
	}
	header.Set(names.ID, call.Id)
	header.Set(names.DeadlineMs, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	header.Set(names.ServerID, call.ServerId)
	header.Set(names.CallerService, call.CallerService)
	// An entry node of an older build forwards the team headers of its caller.
	delete(header, names.TeamKey)
	delete(header, names.Team)
	if call.NameTeam {
		header.Set(names.Team, call.Team)
	}
	s.requests.Add(1)
	return client.Do(ctx, &exchange.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, ID: call.Id,
	})
}

// failureFrame returns the frame of a call without an answer.
func (s *Server) failureFrame(id string, err error) *linkpb.Frame {
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			return s.refusalOf(&dispatch.Refused{Reason: dispatch.Late})
		}
		s.markUnreachable(id)
		return s.refusalOf(&dispatch.Refused{Reason: dispatch.NoServer})
	}
	f := brokenFrame(err.Error())
	f.GetBroken().Timeout = errors.Is(err, context.DeadlineExceeded)
	return f
}

// answerFrame returns the frame of a server's answer.
func (s *Server) answerFrame(id string, r *exchange.Response) *linkpb.Frame {
	names := s.config.Names
	if load, ok := names.ParseLoad(r.Header.Get(names.ServerLoad)); ok && load.Slowness > 0 {
		s.dispatcher.Observe(load.Slowness, false)
	}
	if r.Status == http.StatusMisdirectedRequest {
		s.dispatcher.ServerLost()
		s.markUnreachable(id)
	}
	if r.Header.Get(names.NotExecuted) != "" || r.Status == http.StatusMisdirectedRequest {
		return refusalFrame(linkpb.Refusal_REASON_SERVER, retryAfter(r.Header), s.Load())
	}
	if r.Status < http.StatusMultipleChoices && r.Header.Get(names.Signature) == "" {
		return brokenFrame("success without the server's signature")
	}
	if promisesNotRun(r.Status) {
		return brokenFrame("status " + strconv.Itoa(r.Status) + " of a server that does not say that the request has not run")
	}
	protocol.StripConnection(r.Header)
	for _, name := range []string{names.ServerLoad, names.ID, "Date"} {
		r.Header.Del(name)
	}
	a := &linkpb.Answer{Status: uint32(r.Status), Body: r.Body, Load: s.Load(), Header: Headers(r.Header)}
	return &linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: a}}
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// setLeaving adds to the frame of an answer that the server leaves.
func setLeaving(f *linkpb.Frame, leaving *linkpb.Leaving) {
	switch body := f.Body.(type) {
	case *linkpb.Frame_Answer:
		body.Answer.Leaving = leaving
	case *linkpb.Frame_Refusal:
		body.Refusal.Leaving = leaving
	}
}

// brokenFrame returns the frame of a call that may have run. The cause may quote bytes of the server that are not UTF-8.
func brokenFrame(cause string) *linkpb.Frame {
	cause = strings.ToValidUTF8(cause, string(utf8.RuneError))
	return &linkpb.Frame{Body: &linkpb.Frame_Broken{Broken: &linkpb.Broken{Cause: cause}}}
}

// Headers converts header lines to their form between nodes.
func Headers(h http.Header) []*linkpb.Header {
	lines := make([]*linkpb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			lines = append(lines, &linkpb.Header{Name: name, Value: []byte(value)})
		}
	}
	return lines
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// refusalReasons maps the refusals of the dispatcher to those between nodes.
var refusalReasons = map[dispatch.Reason]linkpb.Refusal_Reason{
	dispatch.Busy:      linkpb.Refusal_REASON_BUSY,
	dispatch.Late:      linkpb.Refusal_REASON_LATE,
	dispatch.NoServer:  linkpb.Refusal_REASON_NO_SERVER,
	dispatch.Cancelled: linkpb.Refusal_REASON_CANCELLED,
}

func (s *Server) refusalOf(err error) *linkpb.Frame {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		refused = &dispatch.Refused{Reason: dispatch.NoServer}
	}
	return refusalFrame(refusalReasons[refused.Reason], refused.RetryAfter, s.Load())
}

func refusalFrame(reason linkpb.Refusal_Reason, after time.Duration, load *linkpb.Load) *linkpb.Frame {
	r := &linkpb.Refusal{Reason: reason, RetryAfterMs: uint32(max(after.Milliseconds(), 0)), Load: load}
	return &linkpb.Frame{Body: &linkpb.Frame_Refusal{Refusal: r}}
}
