// Package operator serves the operators' HTTP API of a node: settings, members, dump, metrics and health.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/radishstand/radishstand/api/operator"
	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/process/exposition"
	"github.com/radishstand/radishstand/node/version/commit"
)

const (
	// maxChangeBytes is the largest accepted body of a change or rollback.
	maxChangeBytes = 512 << 10
	// defaultHistory and maxHistory limit the number of versions that the history returns.
	defaultHistory = 20
	maxHistory     = 500
)

// Editor commits changes to the settings and loads earlier versions.
type Editor interface {
	Commit(ctx context.Context, c commit.Change) (commit.Result, error)
	Rollback(ctx context.Context, r commit.Rollback) (commit.Result, error)
	Load(ctx context.Context, version int64) (*settings.Tree, error)
	Versions(ctx context.Context, after int64, limit int) ([]commit.Version, error)
}

// View provides the state of the node that the API shows.
type View interface {
	// Current returns the settings in force. The tree is nil until the node has a version.
	Current() (version int64, tree *settings.Tree)
	// ApplyCommitted puts a version in force that this node has committed.
	ApplyCommitted(commit.Result)
	// InForce counts the nodes of each place that have the version or a later one in force. The nodes wait up to wait for the
	// version before they are counted.
	InForce(ctx context.Context, version int64, wait time.Duration) map[string]operator.InPlace
	Status() operator.Status
	Members() []operator.Member
	Servers() []operator.Server
	Dump() any
}

// Handler serves the API.
type Handler struct {
	editor  Editor
	view    View
	metrics metrics.Registry
	mux     *http.ServeMux
}

// New returns a Handler that serves the metrics of registry.
func New(editor Editor, view View, registry metrics.Registry) *Handler {
	h := &Handler{editor: editor, view: view, metrics: registry, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+operator.PathHealth, h.health)
	h.mux.HandleFunc("GET "+operator.PathDump, serveJSON(view.Dump))
	h.mux.HandleFunc("GET "+operator.PathStatus, serveJSON(view.Status))
	h.mux.HandleFunc("GET "+operator.PathMembers, serveJSON(view.Members))
	h.mux.HandleFunc("GET "+operator.PathServers, serveJSON(view.Servers))
	h.mux.HandleFunc("GET "+operator.PathSettings, h.settings)
	h.mux.HandleFunc("GET "+operator.PathExplain, h.explain)
	h.mux.HandleFunc("GET "+operator.PathHistory, h.history)
	h.mux.HandleFunc("GET "+operator.PathInForce, h.inForce)
	h.mux.HandleFunc("POST "+operator.PathChanges, h.change)
	h.mux.HandleFunc("POST "+operator.PathRollback, h.rollback)
	h.mux.HandleFunc("GET "+operator.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.metrics, w)
	})
	h.mux.Handle("GET "+operator.PathPrometheus, exposition.Handler(registry))
	h.mux.HandleFunc("/debug/pprof/", pprof.Index)
	h.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	h.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// serveJSON returns a handler that writes the current value as JSON.
func serveJSON[T any](value func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, value()) }
}

// writeJSON writes an answer with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// health answers 200 if the node has settings and serves calls, else 503.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if version, _ := h.view.Current(); version == 0 || h.view.Status().State != "serving" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]string{"state": h.view.Status().State})
}

func (h *Handler) settings(w http.ResponseWriter, r *http.Request) {
	version, tree := h.view.Current()
	if text := r.URL.Query().Get("version"); text != "" {
		requested, ok := intParam(w, r, "version", 0, 1, 1<<62)
		if !ok {
			return
		}
		earlier, err := h.editor.Load(r.Context(), requested)
		if err != nil {
			writeError(w, err)
			return
		}
		version, tree = requested, earlier
	}
	if tree == nil {
		writeError(w, errNoSettings)
		return
	}
	writeJSON(w, http.StatusOK, operator.Settings{Version: version, Tree: tree.Encode()})
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	_, tree := h.view.Current()
	if tree == nil {
		writeError(w, errNoSettings)
		return
	}
	writeJSON(w, http.StatusOK, tree.Explain(r.URL.Query().Get("place"), r.URL.Query().Get("service")))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	limit, ok := intParam(w, r, "limit", defaultHistory, 1, maxHistory)
	if !ok {
		return
	}
	current, _ := h.view.Current()
	after, ok := intParam(w, r, "after", max(0, current-limit), 0, 1<<62)
	if !ok {
		return
	}
	versions, err := h.editor.Versions(r.Context(), after, int(limit))
	if err != nil {
		writeError(w, err)
		return
	}
	list := make([]operator.Version, 0, len(versions))
	for _, v := range versions {
		list = append(list, operator.Version(v))
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) inForce(w http.ResponseWriter, r *http.Request) {
	current, _ := h.view.Current()
	version, ok := intParam(w, r, "version", current, 0, 1<<62)
	if !ok {
		return
	}
	wait, ok := intParam(w, r, "waitMs", 0, 0, operator.MaxInForceWaitMs)
	if !ok {
		return
	}
	places := h.view.InForce(r.Context(), version, time.Duration(wait)*time.Millisecond)
	writeJSON(w, http.StatusOK, operator.InForce{Version: version, Places: places})
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var c operator.Change
	if !readJSON(w, r, &c) {
		return
	}
	result, err := h.editor.Commit(r.Context(), commit.Change(c))
	h.writeAccepted(w, result, err)
}

func (h *Handler) rollback(w http.ResponseWriter, r *http.Request) {
	var c operator.Rollback
	if !readJSON(w, r, &c) {
		return
	}
	result, err := h.editor.Rollback(r.Context(), commit.Rollback(c))
	h.writeAccepted(w, result, err)
}

// writeAccepted puts a committed version in force and writes the answer to a change or rollback.
func (h *Handler) writeAccepted(w http.ResponseWriter, result commit.Result, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	h.view.ApplyCommitted(result)
	writeJSON(w, http.StatusOK, operator.Accepted{Version: result.Version, Repeated: result.Repeated})
}

// readJSON decodes the request body into to. If the body is invalid, it writes the error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, to any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		writeJSON(w, http.StatusBadRequest, operator.Error{Code: operator.CodeInvalid, Message: "body: " + err.Error()})
		return false
	}
	return true
}

// intParam returns a query parameter, or the default if it is missing. If the value is not a whole number from low to high,
// intParam writes the error and returns false.
func intParam(w http.ResponseWriter, r *http.Request, name string, defaultValue, low, high int64) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		writeJSON(w, http.StatusBadRequest, operator.Error{
			Code: operator.CodeInvalid, Message: "query parameter " + name + " is not a whole number in its range",
		})
		return 0, false
	}
	return n, true
}

// errNoSettings means that the node has no version of the settings yet.
var errNoSettings = errors.New("this node does not know the settings yet")

// writeError writes the answer for an error of the settings.
func writeError(w http.ResponseWriter, err error) {
	body := operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
	status := http.StatusServiceUnavailable
	var invalid *settings.InvalidError
	var conflict *settings.ConflictError
	switch {
	case errors.As(err, &invalid):
		status, body.Code = http.StatusUnprocessableEntity, operator.CodeInvalid
		for _, p := range invalid.Problems {
			body.Problems = append(body.Problems, p.String())
		}
	case errors.As(err, &conflict):
		status, body.Code, body.Conflicts = http.StatusConflict, operator.CodeConflict, conflict.Conflicts
	case errors.Is(err, commit.ErrOutcomeUnknown):
		status, body.Code = http.StatusGatewayTimeout, operator.CodeUnknown
	case errors.Is(err, commit.ErrNoVersion):
		status, body.Code = http.StatusNotFound, operator.CodeNotFound
	case errors.Is(err, commit.ErrBadChange), errors.Is(err, commit.ErrChangeIDReused):
		status, body.Code = http.StatusBadRequest, operator.CodeInvalid
	}
	writeJSON(w, status, body)
}
