//go:build linux

package faulttest

import (
	"fmt"
	"net"
	"os"
)

// The ports of the processes stay below the ephemeral range, so that no other connection uses those of a process while it is
// replaced. They are divided into blocks; the first port of a block is held by the test process that uses the block.
const (
	firstPort  = 20000
	portBlocks = 50
	blockPorts = 200
)

var (
	// blockStart is the first port of this process's block, and lastPort the last port tried. Both are set by claimPorts.
	blockStart, lastPort int
	// claim is open as long as the process runs.
	claim net.Listener
)

// claimPorts claims a block of ports for this process.
func claimPorts() {
	for i := range portBlocks {
		blockStart = firstPort + (os.Getpid()+i)%portBlocks*blockPorts
		var err error
		if claim, err = net.Listen("tcp", loopback(blockStart)); err == nil {
			lastPort = blockStart
			return
		}
	}
	panic("no block of ports is free")
}

// freeAddress returns an address with a port of this process's block that is not in use.
func freeAddress() string {
	for {
		lastPort = blockStart + 1 + (lastPort-blockStart)%(blockPorts-1)
		address := loopback(lastPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
