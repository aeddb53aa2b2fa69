package crowder

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// head returns the head of a request, with further header lines.
func head(method, path string, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n%s\r\n", method, path, strings.Join(append(lines, ""), "\r\n"))
}

// stopShort sends a body of legal size but for its last byte.
func stopShort(path string, lines ...string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if _, err := io.WriteString(conn, head("POST", path, append(lines, fmt.Sprint("Content-Length: ", maxBody))...)); err == nil {
			_, _ = conn.Write(make([]byte, maxBody-1))
		}
	}
}

// shortFields are as many header fields as the largest header holds.
func shortFields() []string {
	const fields = 1500
	list := make([]string, fields)
	for i := range list {
		list[i] = fmt.Sprintf("a%d: 1", i)
	}
	return list
}

func TestCrowdWhoseBodiesStopShort(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, stopShort("/order/x"))
	f.expectOrdinary()
	f.check()
}

func TestCrowdWhoseBodiesStopShortWithoutARoute(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, stopShort("/nowhere/x"))
	f.expectOrdinary()
	f.check()
}

func TestCrowdWhoseChunkedBodiesStopShort(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, func(_ int, conn net.Conn) {
		if _, err := io.WriteString(conn, head("POST", "/order/x", "Transfer-Encoding: chunked")); err != nil {
			return
		}
		chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
		for sent := 0; sent < maxBody; sent += 1 << 10 {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return
			}
		}
	})
	f.expectOrdinary()
	f.check()
}

func TestCrowdWhoseBodiesAreWholeAndLarge(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, func(_ int, conn net.Conn) {
		if _, err := io.WriteString(conn, head("POST", "/order/x", fmt.Sprint("Content-Length: ", maxBody))); err == nil {
			_, _ = conn.Write(make([]byte, maxBody))
		}
	})
	f.expectOrdinary()
	f.expectLargest()
	f.check()
}

func TestCrowdWhoseBodiesAreFarOverTheLimit(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, func(n int, conn net.Conn) {
		length := "Content-Length: 900000000"
		if n%2 == 1 {
			length = "Transfer-Encoding: chunked"
		}
		if _, err := io.WriteString(conn, head("POST", "/order/x", length)); err != nil {
			return
		}
		piece := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"
		for sent := 0; sent < 3*maxBody; sent += 1 << 16 {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
	})
	f.expectOrdinary()
	f.check()
}

func TestCrowdWithManyShortFields(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, stopShort("/order/x", shortFields()...))
	f.expectOrdinary()
	f.check()
}

func TestCrowdThatSendsRequestsAhead(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, func(_ int, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat(head("POST", "/order/x", "Content-Length: 0"), 4000))
	})
	f.expectOrdinary()
	f.check()
}

func TestCrowdThatDoesNotReadItsAnswers(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, crowd, func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, head("GET", "/large/x")) })
	f.expectOrdinary()
	f.check()
}

// Half of the crowd stops within the head, the other half within the body. It has more connections than the process has descriptors.
func TestCrowdThatStopsHalfWay(t *testing.T) {
	f := newFleet(t)
	f.send(f.callersAddr, 2*maxFiles, func(n int, conn net.Conn) {
		if n%2 == 0 {
			_, _ = io.WriteString(conn, "POST /order/x HTTP/1.1\r\nHost: h\r\n")
			return
		}
		_, _ = io.WriteString(conn, head("POST", "/order/x", "Content-Length: 100")+"half")
	})
	f.expectOrdinary()
	f.check()
}

func TestCrowdAtTheReadinessAddress(t *testing.T) {
	f := newFleet(t)
	f.send(f.readyAddr, 2*maxFiles, func(n int, conn net.Conn) {
		if n%2 == 0 {
			stopShort("/readiness")(n, conn)
			return
		}
		_, _ = io.WriteString(conn, "GET /readiness HTTP/1.1\r\nHost: h\r\n")
	})
	f.expectOrdinary()
	f.check()
}

// The bodies are orders of operators and announcements of backend servers, which stop short.
func TestCrowdAtTheControlAddress(t *testing.T) {
	f := newFleet(t)
	paths := []string{"PUT /config", "PUT /instances/i-2", "DELETE /instances/i-2", "POST /rollouts", "POST /nowhere"}
	f.send(f.controlAddr, crowd, func(n int, conn net.Conn) {
		method, path, _ := strings.Cut(paths[n%len(paths)], " ")
		if _, err := io.WriteString(conn, head(method, path, fmt.Sprint("Content-Length: ", 4*maxBody))); err == nil {
			_, _ = conn.Write(make([]byte, 4*maxBody-1))
		}
	})
	f.expectOrdinary()
	f.check()
}

func TestCrowdThatStopsHalfWayAtTheControlAddress(t *testing.T) {
	f := newFleet(t)
	f.send(f.controlAddr, 2*maxFiles, func(n int, conn net.Conn) {
		if n%2 == 0 {
			_, _ = io.WriteString(conn, "PUT /config HTTP/1.1\r\nHost: h\r\n")
			return
		}
		_, _ = io.WriteString(conn, head("PUT", "/config", "Content-Length: 100")+"half")
	})
	f.expectOrdinary()
	f.check()
}
