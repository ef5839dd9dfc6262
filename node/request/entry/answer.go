package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishstand/radishstand/api/contract"
	"github.com/radishstand/radishstand/node/request/attempt"
)

// writeRefusal writes the node's own answer to a call that it refuses or that failed.
func writeRefusal(w http.ResponseWriter, callID string, r *refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(contract.HeaderOutcome, string(r.outcome))
	header.Set(contract.HeaderCallID, callID)
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((r.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(contract.Body{Outcome: r.outcome, Reason: r.reason, CallID: callID})
}

// writeAnswer writes a backend server's answer to the caller. If the answer breaks off after its head was written, the
// caller's connection is aborted, so that a caller cannot mistake a partial answer for a complete one.
func writeAnswer(w http.ResponseWriter, callID string, a *attempt.Answer) {
	header := w.Header()
	for name, values := range forwardHeader(a.Header) {
		header[name] = values
	}
	header.Set(contract.HeaderOutcome, string(contract.OutcomeRun))
	header.Set(contract.HeaderCallID, callID)
	if a.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	if len(a.Body) > 0 {
		if _, err := w.Write(a.Body); err != nil {
			return
		}
	}
	if a.Rest == nil {
		return
	}
	copied, err := io.Copy(w, a.Rest)
	complete := a.ContentLength < 0 || int64(len(a.Body))+copied == a.ContentLength
	if err != nil || !complete {
		panic(http.ErrAbortHandler)
	}
}
