package registry

import (
	"encoding/json"
	"net/http"

	"github.com/radishstand/radishstand/api/announce"
)

// maxAnnouncementBytes is the largest accepted body of an announcement.
const maxAnnouncementBytes = 4 << 10

// ServeHTTP handles announcements (PUT) and withdrawals (DELETE).
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodPut:
		r.serveAnnounce(w, request)
	case http.MethodDelete:
		r.Withdraw()
		w.WriteHeader(http.StatusNoContent)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		http.Error(w, "use PUT to announce a server and DELETE to withdraw it", http.StatusMethodNotAllowed)
	}
}

func (r *Registry) serveAnnounce(w http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	var a announce.Server
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "announcement is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := r.Announce(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
