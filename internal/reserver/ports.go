package reserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// firstPort and lastPort are below the ephemeral ports, which the system assigns to outgoing connections. An outgoing
	// connection could take a reserved port before it is used.
	firstPort = 12_000
	lastPort  = 31_000
	// reservationHost is the loopback address where a listener marks a port as reserved; nothing else listens there.
	reservationHost = "127.0.0.99"
)

// reservations stay open until the process ends, so that no other process and no later call gets the same port between
// its reservation and its use.
var reservations struct {
	sync.Mutex
	listeners []net.Listener
}

// ReservePorts returns n ports that have no listener on 127.0.0.1 and that no other call of ReservePorts on this
// machine has reserved; the error means that too few ports are free.
func ReservePorts(n int) ([]int, error) {
	reservations.Lock()
	defer reservations.Unlock()
	var ports []int
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if len(ports) == n {
			return ports, nil
		}
		if port++; port > lastPort {
			port = firstPort
		}
		if tryReserve(port) {
			ports = append(ports, port)
		}
	}
	return nil, trace.LimitExceeded("found only %d of %d free ports", len(ports), n)
}

// tryReserve reserves a port and reports whether it was free: neither reserved nor in use.
func tryReserve(port int) bool {
	reservation, err := net.Listen("tcp", fmt.Sprintf("%s:%d", reservationHost, port))
	if err != nil {
		return false
	}
	probe, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		_ = reservation.Close()
		return false
	}
	_ = probe.Close()
	reservations.listeners = append(reservations.listeners, reservation)
	return true
}
