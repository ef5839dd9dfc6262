package peerpb

// NewHeader returns the lines of a header.
func NewHeader(name string, values []string) *Header {
	h := &Header{Name: name, Values: make([][]byte, len(values))}
	for i, value := range values {
		h.Values[i] = []byte(value)
	}
	return h
}

// Strings returns the values of the header.
func (h *Header) Strings() []string {
	values := make([]string, len(h.GetValues()))
	for i, value := range h.GetValues() {
		values[i] = string(value)
	}
	return values
}
