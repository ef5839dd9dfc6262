package localserver

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/api/linkpb"
	"github.com/radishstand/radishstand/node/connection/exchange"
	"github.com/radishstand/radishstand/node/connection/protocol"
	"github.com/radishstand/radishstand/node/process/dispatch"
)

const (
	// answerSlack is the time after a call's deadline for which the server's own word is awaited.
	answerSlack = 300 * time.Millisecond
	// sweepEvery is the time between two looks at the waiting calls.
	sweepEvery = 20 * time.Millisecond
)

// Serve has the server run a call and returns the frame that ends it. The end of ctx takes a waiting call out of the
// queue and breaks off an idempotent one; other calls go on until their deadline, so that their outcome is known.
func (s *Server) Serve(ctx context.Context, call *linkpb.Call) *linkpb.Frame {
	now := s.config.Now()
	job := &dispatch.Job{
		Route: call.Route, Rank: int(call.Rank), NoRedirect: call.Stay, RedirectAbove: time.Duration(call.ReferMs) * time.Millisecond,
		Objective: now.Add(time.Duration(call.ObjectiveMs) * time.Millisecond),
		Deadline:  now.Add(time.Duration(call.LeftMs) * time.Millisecond),
	}
	if err := s.admit(ctx, job); err != nil {
		return s.refusal(err)
	}
	answered := false
	defer func() { s.dispatcher.Done(job, answered) }()
	client := s.claim(call.ServerId)
	if client == nil {
		return s.refusal(&dispatch.Refused{Reason: dispatch.NoServer})
	}
	response, err := s.send(ctx, client, call, job.Deadline)
	if err != nil {
		return s.failure(call.ServerId, err)
	}
	f := s.answer(call.ServerId, response)
	answered = f.GetAnswer() != nil && response.Status < http.StatusInternalServerError
	return f
}

// admit waits for a slot.
func (s *Server) admit(ctx context.Context, job *dispatch.Job) error {
	decided := make(chan error, 1)
	s.dispatcher.Submit(job, func(err error) { decided <- err })
	select { // most calls are decided at once
	case err := <-decided:
		return err
	default:
	}
	s.sweep()
	select {
	case err := <-decided:
		return err
	case <-ctx.Done():
		s.dispatcher.Cancel(job)
		err := <-decided
		if err == nil { // it was started meanwhile
			s.dispatcher.Done(job, false)
			return &dispatch.Refused{Reason: dispatch.Cancelled}
		}
		return err
	}
}

// sweep looks at the waiting calls from time to time while there are any.
func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sweeping {
		return
	}
	s.sweeping = true
	time.AfterFunc(sweepEvery, s.sweepOnce)
}

func (s *Server) sweepOnce() {
	again := s.dispatcher.Sweep()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeping = again
	if again {
		time.AfterFunc(sweepEvery, s.sweepOnce)
	}
}

// claim returns the client of the server if it is the one that the call is meant for and takes calls.
func (s *Server) claim(id string) *exchange.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.ID != id || !s.life.Is(ready) {
		return nil
	}
	return s.client
}

func (s *Server) send(ctx context.Context, client *exchange.Client, call *linkpb.Call, deadline time.Time) (*exchange.Response, error) {
	if !call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerSlack))
	defer cancel()
	left := deadline.Sub(s.config.Now())
	if left <= 0 {
		return nil, &exchange.NotSentError{Cause: context.DeadlineExceeded}
	}
	names := s.config.Names
	header := make(http.Header, len(call.Header)+4)
	for _, h := range call.Header {
		header.Add(h.Name, h.Value)
	}
	header.Set(names.ID, call.Id)
	header.Set(names.DeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(names.ServerID, call.ServerId)
	header.Set(names.CallerService, call.CallerService)
	return client.Do(ctx, &exchange.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, ID: call.Id,
	})
}

// failure returns the frame of a call without an answer.
func (s *Server) failure(id string, err error) *linkpb.Frame {
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			return s.refusal(&dispatch.Refused{Reason: dispatch.Late})
		}
		s.lost(id)
		return s.refusal(&dispatch.Refused{Reason: dispatch.NoServer})
	}
	broken := &linkpb.Broken{Cause: err.Error(), Timeout: errors.Is(err, context.DeadlineExceeded)}
	return &linkpb.Frame{Body: &linkpb.Frame_Broken{Broken: broken}}
}

// answer returns the frame of a server's answer.
func (s *Server) answer(id string, r *exchange.Response) *linkpb.Frame {
	names := s.config.Names
	if load, ok := names.ParseLoad(r.Header.Get(names.ServerLoad)); ok && load.Slowness > 0 {
		s.dispatcher.Observe(load.Slowness, false)
	}
	if r.Status == http.StatusMisdirectedRequest {
		s.lost(id)
	}
	if r.Header.Get(names.NotExecuted) != "" || r.Status == http.StatusMisdirectedRequest {
		return refusalFrame(linkpb.Refusal_REASON_SERVER, retryAfter(r.Header), s.Load())
	}
	if r.Status < http.StatusMultipleChoices && r.Header.Get(names.Signature) == "" {
		return &linkpb.Frame{Body: &linkpb.Frame_Broken{Broken: &linkpb.Broken{Cause: "success without the server's signature"}}}
	}
	protocol.StripConnection(r.Header)
	for _, name := range []string{names.ServerLoad, names.ID, "Date"} {
		r.Header.Del(name)
	}
	a := &linkpb.Answer{Status: uint32(r.Status), Body: r.Body, Load: s.Load(), Header: Headers(r.Header)}
	return &linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: a}}
}

// Headers returns header lines in the form in which they travel between nodes.
func Headers(h http.Header) []*linkpb.Header {
	lines := make([]*linkpb.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			lines = append(lines, &linkpb.Header{Name: name, Value: value})
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

// reasons maps the refusals of the queue to those between nodes.
var reasons = map[dispatch.Reason]linkpb.Refusal_Reason{
	dispatch.Busy:      linkpb.Refusal_REASON_BUSY,
	dispatch.Late:      linkpb.Refusal_REASON_LATE,
	dispatch.NoServer:  linkpb.Refusal_REASON_NO_SERVER,
	dispatch.Cancelled: linkpb.Refusal_REASON_CANCELLED,
}

func (s *Server) refusal(err error) *linkpb.Frame {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		refused = &dispatch.Refused{Reason: dispatch.NoServer}
	}
	return refusalFrame(reasons[refused.Reason], refused.RetryAfter, s.Load())
}

func refusalFrame(reason linkpb.Refusal_Reason, after time.Duration, load *linkpb.Load) *linkpb.Frame {
	r := &linkpb.Refusal{Reason: reason, RetryAfterMs: uint32(max(after.Milliseconds(), 0)), Load: load}
	return &linkpb.Frame{Body: &linkpb.Frame_Refusal{Refusal: r}}
}
