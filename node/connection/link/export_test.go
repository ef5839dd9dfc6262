package link

import "net"

// BoundUnsent bounds the bytes that the kernel holds for a connection.
func BoundUnsent(e *Egress, conn net.Conn) { e.boundUnsent(conn) }
