// Package membership keeps each node's view of the fleet: who is a member, which of them are live, and which places can
// be reached.
//
// A member is known by its peer address. Its record is raised only by the member itself; others may only mark it suspect
// or dead at the sequence they know, and a live member answers by raising its sequence. Changes are pushed at once to a
// few peers and repaired by comparing bucket hashes. Liveness is checked only within a place, by ring neighbours; the
// reachability of other places is one verdict a place pair. The table service gives incarnations and first peers and is
// never consulted about liveness.
package membership
