package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/request/attempt"
	"github.com/radishstand/radishstand/node/request/requesturi"
	"github.com/radishstand/radishstand/node/version/current"
)

const (
	// maxDepth ends call cycles. The longest expected call chain has 28 calls.
	maxDepth     = 64
	maxTimeoutMs = 600_000
	// minKeyLength makes it unlikely that two callers choose the same idempotency key by accident; one of them would then get
	// the answer of the other.
	minKeyLength = 16
	maxKeyLength = 255
)

// call is a caller's request from arrival to answer. It uses the same settings version throughout.
type call struct {
	// id is shared by all calls of a call tree.
	id string
	// claimID is unique to this call. The ledger grants a claim again to the same id, so the calls of a call tree must not
	// share it.
	claimID    string
	started    time.Time
	deadline   time.Time
	service    string
	values     *settings.Values
	version    int64
	class      contract.Class
	idempotent bool
	depth      int
	// parent is the attempt for which the backend server makes this call, if any.
	parent string
	key    string
	method string
	target requesturi.URI
	host   string
	header http.Header
	body   []byte
}

// refusal is an answer that the node creates itself.
type refusal struct {
	status     int
	outcome    contract.Outcome
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// notRun returns a refusal with the outcome not-run.
func notRun(status int, format string, args ...any) *refusal {
	return &refusal{status: status, outcome: contract.OutcomeNotRun, reason: fmt.Sprintf(format, args...)}
}

// newCall validates a request and reads its body. The refusal is nil or has the outcome not-run.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, trusted bool) (*call, *refusal) {
	c := &call{id: uuid.NewString(), started: h.Now(), method: r.Method, host: r.Host}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return c, notRun(http.StatusNotImplemented, "CONNECT and protocol upgrades are not supported")
	}
	var err error
	if c.target, err = requesturi.Parse(r.RequestURI); err != nil {
		return c, notRun(http.StatusNotFound, "%v", err)
	}
	snapshot := h.Settings.Current()
	if snapshot == nil {
		return c, notRun(http.StatusServiceUnavailable, "this node does not know the settings yet")
	}
	if refused := c.resolveService(r, snapshot); refused != nil {
		return c, refused
	}
	if refused := c.applyCallerHeaders(r); refused != nil {
		return c, refused
	}
	c.classify(r, trusted)
	if refused := c.inheritFromParent(h, r, trusted); refused != nil {
		return c, refused
	}
	if refused := c.readBody(w, r); refused != nil {
		return c, refused
	}
	c.header = forwardHeader(r.Header)
	return c, nil
}

// resolveService finds the service of a request and its settings.
func (c *call) resolveService(r *http.Request, snapshot *current.Snapshot) *refusal {
	service, ok := snapshot.Match(r.Host, c.target.Path, r.Header.Get(contract.HeaderService))
	if !ok {
		return notRun(http.StatusNotFound, "no service matches this host, path and header")
	}
	values, ok := snapshot.Values(service)
	if !ok {
		return notRun(http.StatusNotFound, "service %q is not known", service)
	}
	c.service, c.values, c.version = service, values, snapshot.Version
	return nil
}

// applyCallerHeaders sets the deadline and the idempotency key from the caller's headers.
func (c *call) applyCallerHeaders(r *http.Request) *refusal {
	timeout := c.values.Call.TimeoutMs
	if text := r.Header.Get(contract.HeaderTimeout); text != "" {
		requested, err := strconv.Atoi(text)
		if err != nil || requested < 1 || requested > maxTimeoutMs {
			return notRun(http.StatusBadRequest, "%s must be a whole number from 1 to %d", contract.HeaderTimeout, maxTimeoutMs)
		}
		timeout = min(timeout, requested)
	}
	c.deadline = c.started.Add(time.Duration(timeout) * time.Millisecond)
	keys := r.Header.Values(contract.HeaderIdempotencyKey)
	if len(keys) > 1 {
		return notRun(http.StatusBadRequest, "%s must be given once", contract.HeaderIdempotencyKey)
	}
	if len(keys) == 1 && (len(keys[0]) < minKeyLength || len(keys[0]) > maxKeyLength) {
		return notRun(http.StatusBadRequest, "%s must have %d to %d characters", contract.HeaderIdempotencyKey, minKeyLength, maxKeyLength)
	}
	if len(keys) == 1 {
		c.key, c.claimID = keys[0], uuid.NewString()
	}
	return nil
}

// classify sets the class of the call and whether it is idempotent.
func (c *call) classify(r *http.Request, trusted bool) {
	c.idempotent = slices.Contains(c.values.Call.IdempotentMethods, r.Method)
	c.class = contract.Class(c.values.Call.Class)
	for _, rule := range c.values.Call.Rules {
		if (rule.Method == "" || rule.Method == r.Method) && strings.HasPrefix(c.target.Path, rule.PathPrefix) {
			c.class = rule.Class
			break
		}
	}
	// Only a backend server may set the class of its calls: any caller could declare its call to be an internal check.
	if requested := contract.Class(r.Header.Get(contract.HeaderClass)); trusted && requested.Valid() {
		c.class = requested
	}
}

// inheritFromParent sets call id, deadline and depth from the attempt for which a backend server makes this call.
func (c *call) inheritFromParent(h *Handler, r *http.Request, trusted bool) *refusal {
	attemptID := r.Header.Get(contract.HeaderContext)
	if !trusted || attemptID == "" {
		return nil
	}
	c.parent = attemptID
	parent, ok := h.Parents.Lookup(attemptID)
	if !ok {
		// The parent attempt has ended. Its calls still run, because their results may be needed, but they get no retries.
		return nil
	}
	c.id = parent.CallID
	c.depth = parent.Depth + 1
	if parent.Deadline.Before(c.deadline) {
		c.deadline = parent.Deadline
	}
	if c.depth > maxDepth {
		return notRun(http.StatusLoopDetected, "more than %d calls deep", maxDepth)
	}
	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := int64(c.values.Call.MaxBodyBytes)
	if r.ContentLength > limit {
		return notRun(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return notRun(http.StatusBadRequest, "the body could not be read completely")
	}
	c.body = body
	return nil
}

// request returns the request of an attempt at a server.
func (c *call) request(serverID string, remaining time.Duration, allowance int) *attempt.Request {
	return &attempt.Request{
		AttemptID: uuid.NewString(), CallID: c.id, Service: c.service, ServerID: serverID,
		Method: c.method, Target: c.target.Raw, Host: c.host, Header: c.header, Body: c.body,
		Timeout: remaining, Idempotent: c.idempotent, Class: c.class,
		RetryAllowance: allowance, Depth: c.depth, SettingsVersion: c.version,
	}
}

// notForwarded holds the hop-by-hop headers (RFC 9110, section 7.6.1) and the headers that net/http sets itself. Names are
// in canonical form.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// reservedPrefix is the prefix of headers that are never forwarded: only a node may set them on a message that it sends.
const reservedPrefix = "Radish-"

// forwardHeader returns the headers that the node forwards from a request or an answer.
func forwardHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(name, reservedPrefix) && !notForwarded[name] {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}
