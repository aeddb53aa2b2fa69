package reserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// firstPort and lastPort lie below the ports that the system gives to outgoing connections, which would take a reserved
	// one before it is used.
	firstPort = 12_000
	lastPort  = 31_000
	// claimHost is the loopback address on which a port is claimed; nothing else listens there.
	claimHost = "127.0.0.99"
)

// claims are held until the process ends, so that no other process and no later call gets the same port between its
// reservation and its use.
var claims struct {
	sync.Mutex
	list []net.Listener
}

// Ports returns n ports that nobody listens on at 127.0.0.1 and that no other caller of Ports on this machine has.
func Ports(n int) ([]int, error) {
	claims.Lock()
	defer claims.Unlock()
	var ports []int
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if len(ports) == n {
			return ports, nil
		}
		if port++; port > lastPort {
			port = firstPort
		}
		if claim(port) {
			ports = append(ports, port)
		}
	}
	return nil, trace.LimitExceeded("only %d of %d free ports", len(ports), n)
}

// claim takes a port unless somebody has claimed it or listens on it.
func claim(port int) bool {
	held, err := net.Listen("tcp", fmt.Sprintf("%s:%d", claimHost, port))
	if err != nil {
		return false
	}
	used, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		_ = held.Close()
		return false
	}
	_ = used.Close()
	claims.list = append(claims.list, held)
	return true
}
