package sidecar

import (
	"encoding/json"
	"math"
	"net/http"

	"github.com/radishstand/radishstand/api/explain"
)

// maxExplainBytes bounds the body of a request to explain.
const maxExplainBytes = 64 << 10

// explain serves the explanation of a request. No response or log line contains the key, not even as part of an error of the parser.
func (n *Node) explain(w http.ResponseWriter, r *http.Request) {
	request, problem := explainedRequest(w, r)
	if problem != "" {
		writeExplanation(w, http.StatusBadRequest, explain.Error{Error: problem})
		return
	}
	answer, err := n.front.Explain(request)
	if err != nil {
		writeExplanation(w, http.StatusBadRequest, explain.Error{Error: err.Error()})
		return
	}
	c := n.config.Load()
	answer.Node, answer.Place, answer.Lease = c.Name, c.Place, n.explainLease()
	writeExplanation(w, http.StatusOK, answer)
}

// explainedRequest reads the request to explain. The problem is empty if it is well formed.
func explainedRequest(w http.ResponseWriter, r *http.Request) (request explain.Request, problem string) {
	query := r.URL.Query()
	if query.Has("key") {
		return request, "a key is accepted only in the body of a POST, since URLs are logged"
	}
	if r.Method == http.MethodPost {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
		if err := decoder.Decode(&request); err != nil {
			return request, "the body is not a JSON object with the fields of a request"
		}
	} else {
		request = explain.Request{Host: query.Get("host"), Path: query.Get("path"), Method: query.Get("method"), Team: query.Get("team")}
	}
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	return request, ""
}

// explainLease returns the state of the lease.
func (n *Node) explainLease() explain.Lease {
	f := n.freshness
	lease := explain.Lease{Required: f.within() > 0, Held: f.Leased(n.routing.Number()), AgeMs: -1, LimitMs: f.within().Milliseconds()}
	if age := f.age(); lease.Required && age != math.MaxInt64 {
		lease.AgeMs = age.Milliseconds()
	}
	return lease
}

func writeExplanation(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
