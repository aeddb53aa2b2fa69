package crowder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// longHead is nearly the largest head that the settings allow, legalHead nearly the largest that the policy allows, in bytes.
	longHead  = 60_000
	legalHead = 16_000
	// endless is how much a connection sends at most of what has no end, in bytes: many times what an instance should read.
	endless = 1 << 20
	// dripCrowd is the number of connections that send a byte each dripPause; it is more than the processes have descriptors.
	dripCrowd = 2 * maxFiles
	dripPause = 600 * time.Millisecond
)

const (
	requestLine = "GET /order/x HTTP/1.1\r\nHost: h\r\n"
	// chunkedHead is the head of an order whose body is sent in chunks.
	chunkedHead = "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n"
	// emptyRequest is answered at every address, if only with an error.
	emptyRequest = "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nContent-Length: 0\r\n\r\n"
)

// manyFields returns the start of a request of the given size whose fields are as short as fields can be.
func manyFields(size int) string {
	var b strings.Builder
	b.WriteString(requestLine)
	for n := 0; b.Len() < size; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// say sends a text and stops.
func say(text string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// repeat sends a text and then another one again and again, until the connection is closed or enough was sent.
func repeat(first, text string) func(int, net.Conn) {
	piece := strings.Repeat(text, 1+(4<<10)/len(text))
	return func(_ int, conn net.Conn) {
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for sent := 0; sent < endless; sent += len(piece) {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
	}
}

func testHeads(t *testing.T, run func(int, net.Conn)) {
	t.Helper()
	newDeployment(t, headFiles).sendToEach(headCrowd, run)
}

func TestCrowdOfLongHeadsOfShortFields(t *testing.T)  { testHeads(t, say(manyFields(longHead))) }
func TestCrowdOfLegalHeadsOfShortFields(t *testing.T) { testHeads(t, say(manyFields(legalHead))) }
func TestCrowdOfHeadsWithOneLongField(t *testing.T) {
	testHeads(t, say(requestLine+"A: "+strings.Repeat("x", longHead)))
}

func TestCrowdOfFieldsWithoutEnd(t *testing.T) { testHeads(t, repeat(requestLine, "A: b\r\n")) }
func TestCrowdOfOneFieldWithoutEnd(t *testing.T) {
	testHeads(t, repeat(requestLine+"A: ", "x"))
}
func TestCrowdOfRequestLinesWithoutEnd(t *testing.T) { testHeads(t, repeat("GET /", "x")) }
func TestCrowdOfFoldedLinesWithoutEnd(t *testing.T) {
	testHeads(t, repeat(requestLine+"A: b\r\n", " c\r\n"))
}
func TestCrowdOfBlankLinesWithoutEnd(t *testing.T)   { testHeads(t, repeat("", "\r\n")) }
func TestCrowdOfBareNewlinesWithoutEnd(t *testing.T) { testHeads(t, repeat("", "\n")) }
func TestCrowdOfBlankLinesAfterAnAnswer(t *testing.T) {
	testHeads(t, repeat(emptyRequest, "\r\n"))
}
func TestCrowdOfChunkExtensionsWithoutEnd(t *testing.T) {
	testHeads(t, repeat(chunkedHead+"1;a=", "x"))
}
func TestCrowdOfTrailersWithoutEnd(t *testing.T) {
	testHeads(t, repeat(chunkedHead+"0\r\n", "A: b\r\n"))
}
func TestCrowdOfTinyChunksWithoutEnd(t *testing.T) { testHeads(t, repeat(chunkedHead, "1\r\nx\r\n")) }

// Each connection sends a request and, before its answer, the start of another one with many short fields; the rest follows.
func TestCrowdOfShortFieldsAfterARequest(t *testing.T) {
	testHeads(t, say(emptyRequest+manyFields(legalHead)))
}

func TestCrowdsOfShortFieldsAtAllAddresses(t *testing.T) {
	newDeployment(t, headFiles).sendToAll(headCrowd/4, say(manyFields(longHead)))
}

// The heads stop half-way, on more connections than the processes have descriptors.
func TestCrowdOfHeadsThatStopHalfWay(t *testing.T) {
	newDeployment(t, maxFiles).sendToEach(2*maxFiles, say(requestLine))
}

// drip lets a crowd send a byte each dripPause at an address.
func drip(address, first string) (leave func()) {
	return crowdOf(address, func(conn net.Conn, stop <-chan struct{}) { dripTo(conn, first, stop) })
}

// crowdOf lets dripCrowd connections run at an address, each of which comes again when it is closed, until they are told to leave.
func crowdOf(address string, run func(conn net.Conn, stop <-chan struct{})) (leave func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range dripCrowd {
		wg.Go(func() {
			for {
				if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					run(conn, stop)
					_ = conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(dripPause):
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

func dripTo(conn net.Conn, first string, stop <-chan struct{}) {
	for text := first; ; text = "x" {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(dripPause):
		}
	}
}

// testDrip expects answers to ordinary requests while the crowd stays.
func testDrip(t *testing.T, first string) {
	t.Helper()
	dep := newDeployment(t, maxFiles)
	for name, ep := range dep.endpoints {
		t.Run(name, func(t *testing.T) {
			dep.t = t
			leave := drip(ep.address, first)
			defer leave()
			// The crowd has all connections after a while.
			time.Sleep(4 * time.Second)
			dep.expect(ep)
		})
	}
}

func TestCrowdWhoseHeadsDrip(t *testing.T) { testDrip(t, requestLine+"A: ") }
func TestCrowdWhoseBodiesDrip(t *testing.T) {
	testDrip(t, fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\nContent-Length: %d\r\n\r\n", legalHead))
}

// bookingHead is the head of an order over our own interface, with a good key; the length of the body follows.
const bookingHead = "POST /services/coat-desk/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-adoption-app\r\nIdempotency-Key: k\r\nContent-Length: "

func TestCrowdWhoseBodiesDripOverTheOwnInterface(t *testing.T) {
	dep := newDeployment(t, maxFiles)
	ep := dep.endpoints["callers of the own interface"]
	leave := drip(ep.address, fmt.Sprint(bookingHead, legalHead, "\r\n\r\n"))
	defer leave()
	time.Sleep(4 * time.Second)
	dep.expect(ep)
}

func TestCrowdWhoseBodiesStopShortOverTheOwnInterface(t *testing.T) {
	dep := newDeployment(t, maxFiles)
	ep := dep.endpoints["callers of the own interface"]
	dep.send(ep.address, crowd, say(fmt.Sprint(bookingHead, maxBody, "\r\n\r\n")+strings.Repeat("x", maxBody-1)))
	dep.expect(ep)
}

// Each connection sends one ordinary request after the other. Ordinary callers on new connections must get their turn.
func TestCrowdThatSendsRequestAfterRequest(t *testing.T) {
	lookup := "GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n\r\n"
	requests := map[string]string{
		"callers of an entry instance": lookup,
		"control":                      "GET /config HTTP/1.1\r\nHost: h\r\n\r\n",
		"callers of the own interface": "GET /services/coat-desk/catalogue/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-adoption-app\r\n\r\n",
	}
	dep := newDeployment(t, maxFiles)
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			dep.t = t
			ep := dep.endpoints[name]
			leave := crowdOf(ep.address, func(conn net.Conn, stop <-chan struct{}) { ask(conn, text, stop) })
			defer leave()
			time.Sleep(4 * time.Second)
			dep.expect(ep)
		})
	}
}

// ask sends a request again and again, each after the answer to the one before.
func ask(conn net.Conn, text string, stop <-chan struct{}) {
	answers := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
