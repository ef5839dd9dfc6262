package localserver

// SetEvacuated sets whether the place of the server is evacuated, and reports whether that has changed. Config.Changed is not called.
// While the place is evacuated, waiting and new calls are refused, no health check is sent, and calls in progress continue. When the
// evacuation ends, the server may be cold: afterEvacuation is called before the first call.
func (s *Server) SetEvacuated(evacuated bool) (changed bool) {
	changed, _ = s.applyUpdate(func() error {
		s.evacuated = evacuated
		return nil
	})
	return changed
}
