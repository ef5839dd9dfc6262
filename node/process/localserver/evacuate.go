package localserver

// SetEvacuated sets whether the place of the server is evacuated. While it is, waiting and new calls are refused, no health check is
// sent, and calls in progress continue. When the evacuation ends, the server may be cold: afterEvacuation is called before the first
// call.
func (s *Server) SetEvacuated(evacuated bool) {
	_ = s.updateState(func() error {
		s.evacuated = evacuated
		return nil
	})
}
