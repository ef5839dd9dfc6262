// Package membership maintains each node's view of the fleet: which nodes are members, which of them are live, and which
// places can be reached.
//
// A member is identified by its peer address. Only the member itself increments the sequence of its record; other nodes may
// only mark it suspect or dead at the sequence they hold, and a live member refutes that by incrementing its sequence.
// Changes are pushed at once to a few peers, and anti-entropy repairs missed changes by comparing bucket hashes. Liveness is
// checked only within a place, by ring neighbours; the reachability of another place is one decision per pair of places. The
// table service assigns incarnations and lists seed peers; it is never consulted about liveness.
package membership
