package peer

import (
	"net/http"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/peerpb"
	"github.com/radishstand/radishstand/node/process/balance"
	"github.com/radishstand/radishstand/node/request/attempt"
)

func requestToWire(r *attempt.Request) *peerpb.CallRequest {
	return &peerpb.CallRequest{
		AttemptId: r.AttemptID, CallId: r.CallID, Service: r.Service, ServerId: r.ServerID,
		Method: r.Method, Target: r.Target, Host: r.Host, Headers: headerToWire(r.Header), Body: r.Body,
		TimeoutUs: r.Timeout.Microseconds(), Idempotent: r.Idempotent, Class: string(r.Class),
		RetryAllowance: int32(r.RetryAllowance), Depth: int32(r.Depth), SettingsVersion: r.SettingsVersion,
		Stay: r.NoRedirect, From: r.From,
	}
}

func requestFromWire(r *peerpb.CallRequest) *attempt.Request {
	return &attempt.Request{
		AttemptID: r.AttemptId, CallID: r.CallId, Service: r.Service, ServerID: r.ServerId,
		Method: r.Method, Target: r.Target, Host: r.Host, Header: headerFromWire(r.Headers), Body: r.Body,
		Timeout: time.Duration(r.TimeoutUs) * time.Microsecond, Idempotent: r.Idempotent, Class: contract.Class(r.Class),
		RetryAllowance: int(r.RetryAllowance), Depth: int(r.Depth), SettingsVersion: r.SettingsVersion,
		NoRedirect: r.Stay, From: r.From,
	}
}

func headerToWire(h http.Header) []*peerpb.Header {
	wire := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		wire = append(wire, peerpb.NewHeader(name, values))
	}
	return wire
}

func headerFromWire(wire []*peerpb.Header) http.Header {
	h := make(http.Header, len(wire))
	for _, header := range wire {
		h[header.Name] = header.Strings()
	}
	return h
}

func loadsToWire(loads []balance.Load) []*peerpb.LoadReport {
	wire := make([]*peerpb.LoadReport, 0, len(loads))
	for _, l := range loads {
		wire = append(wire, &peerpb.LoadReport{
			Incarnation: l.Incarnation, Sequence: l.Sequence,
			InProgress: int32(l.InProgress), Queued: int32(l.Queued), Limit: int32(l.Limit),
			ServiceTimeUs: l.ServiceTime.Microseconds(), Draining: l.Draining,
		})
	}
	return wire
}

// loadsFromWire converts load reports. They omit the server ID, which is that of the server that the call was sent to.
func loadsFromWire(wire []*peerpb.LoadReport, serverID string) []balance.Load {
	loads := make([]balance.Load, 0, len(wire))
	for _, l := range wire {
		loads = append(loads, balance.Load{
			ServerID: serverID, Incarnation: l.Incarnation, Sequence: l.Sequence,
			InProgress: int(l.InProgress), Queued: int(l.Queued), Limit: int(l.Limit),
			ServiceTime: time.Duration(l.ServiceTimeUs) * time.Microsecond, Draining: l.Draining,
		})
	}
	return loads
}

var reasonToWire = map[attempt.Reason]peerpb.RefusalReason{
	attempt.ReasonQueueFull:     peerpb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	attempt.ReasonDraining:      peerpb.RefusalReason_REFUSAL_REASON_DRAINING,
	attempt.ReasonDeadline:      peerpb.RefusalReason_REFUSAL_REASON_DEADLINE,
	attempt.ReasonNoServer:      peerpb.RefusalReason_REFUSAL_REASON_NO_SERVER,
	attempt.ReasonSiblingFree:   peerpb.RefusalReason_REFUSAL_REASON_BUSY_SIBLING_FREE,
	attempt.ReasonServerRefused: peerpb.RefusalReason_REFUSAL_REASON_SERVER_REFUSED,
	attempt.ReasonStopping:      peerpb.RefusalReason_REFUSAL_REASON_STOPPING,
	attempt.ReasonUnreachable:   peerpb.RefusalReason_REFUSAL_REASON_UNREACHABLE,
}

var reasonFromWire = invert(reasonToWire)

var kindToWire = map[attempt.Kind]peerpb.FailureKind{
	attempt.KindBroken:    peerpb.FailureKind_FAILURE_KIND_BROKEN,
	attempt.KindDeadline:  peerpb.FailureKind_FAILURE_KIND_DEADLINE,
	attempt.KindTruncated: peerpb.FailureKind_FAILURE_KIND_TRUNCATED,
	attempt.KindCancelled: peerpb.FailureKind_FAILURE_KIND_BROKEN,
}

var kindFromWire = map[peerpb.FailureKind]attempt.Kind{
	peerpb.FailureKind_FAILURE_KIND_DEADLINE:  attempt.KindDeadline,
	peerpb.FailureKind_FAILURE_KIND_TRUNCATED: attempt.KindTruncated,
}

func invert[K, V comparable](m map[K]V) map[V]K {
	inverse := make(map[V]K, len(m))
	for k, v := range m {
		inverse[v] = k
	}
	return inverse
}

func refusalToWire(e *attempt.NotRun) *peerpb.Refusal {
	return &peerpb.Refusal{
		Reason: reasonToWire[e.Reason], RetryAfterUs: e.RetryAfter.Microseconds(), HintServerId: e.Hint,
	}
}

func failureFromWire(f *peerpb.Failure) attempt.Kind {
	if kind, ok := kindFromWire[f.Kind]; ok {
		return kind
	}
	// An unknown kind from a newer node must not be treated as a success or a refusal.
	return attempt.KindBroken
}
