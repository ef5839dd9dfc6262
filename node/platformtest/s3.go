package platformtest

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/radishstand/radishstand/node/connection/platform"
)

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if key == "" {
		replyObjectError(w, http.StatusBadRequest, "InvalidRequest", "path must be /bucket/key")
		return
	}
	switch {
	case r.Method == http.MethodPut && !strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked"):
		body, err := io.ReadAll(r.Body)
		if err != nil {
			replyObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
			return
		}
		s.run(w, r, Operation{Name: "PutObject"}, replyObject, func() (any, error) {
			return nil, s.memory.putObject(key, body)
		})
	case r.Method == http.MethodGet:
		s.run(w, r, Operation{Name: "GetObject"}, replyObject, func() (any, error) { return s.memory.getObject(key) })
	default:
		replyObjectError(w, http.StatusNotImplemented, "NotImplemented", r.Method)
	}
}

func replyObject(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, errDown):
		replyObjectError(w, http.StatusServiceUnavailable, "SlowDown", err.Error())
	case errors.Is(err, platform.ErrNotFound):
		replyObjectError(w, http.StatusNotFound, "NoSuchKey", err.Error())
	default:
		data, _ := body.([]byte)
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data)
	}
}

func replyObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message})
}
