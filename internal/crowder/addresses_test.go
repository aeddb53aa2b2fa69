package crowder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/reserver"
)

const (
	// halfHeld is half of the default of limits.max-held. Machines have half of their memory too, so that half of the connections
	// shows a fault. The whole instance keeps the default.
	halfHeld = "16MiB"
	// headCrowd is the number of connections of a crowd whose heads take memory, headFiles the descriptors of the processes there.
	headCrowd = 500
	headFiles = 1100
)

// endpoint is an address of a process, with an ordinary request that it must answer.
type endpoint struct {
	process *process
	address string
	answers func() bool
}

// deployment is a fleet with an instance of each role, of which every address is known.
type deployment struct {
	*fleet
	whole *process
	// endpoints are the addresses of all processes by name.
	endpoints map[string]endpoint
	// bounds are the memory that each process may take, in bytes.
	bounds map[*process]int
	files  int
}

// newDeployment starts an entry, a control and a whole instance with half of the memory of their machines.
func newDeployment(t *testing.T, files int) *deployment {
	t.Helper()
	if os.Getenv("CROWDS") == "" {
		t.Skip("CROWDS=1 runs the crowds, one at a time and apart from other load")
	}
	f := newFleetWith(t, options{files: files, settings: "[limits]\nmax-held = " + halfHeld + "\n", addresses: true})
	dep := &deployment{fleet: f, files: files}
	whole, callers, control, links := dep.startWhole("")
	dep.whole = whole
	dep.bounds = map[*process]int{f.entry: entryMemory / 2, f.control: controlMemory / 2, dep.whole: entryMemory / 2}
	get := func(url string) func() bool {
		return func() bool {
			status, _ := request(http.MethodGet, url, nil)
			return status == http.StatusOK
		}
	}
	dep.endpoints = map[string]endpoint{
		"callers of an entry instance":  {f.entry, f.callersAddr, dep.isServed},
		"readiness":                     {f.entry, f.readyAddr, get("http://" + f.readyAddr + "/readiness")},
		"tunnels of an entry instance":  {f.entry, f.tunnelsAddr, dep.isRelayed},
		"metrics of an entry instance":  {f.entry, f.entryMetrics, get("http://" + f.entryMetrics + "/metrics")},
		"control":                       {f.control, f.controlAddr, get("http://" + f.controlAddr + "/config")},
		"links of a control instance":   {f.control, f.linksAddr, func() bool { return isLinked(f.linksAddr) }},
		"metrics of a control instance": {f.control, f.controlMetrics, get("http://" + f.controlMetrics + "/metrics")},
		"callers of the own interface":  {dep.whole, callers, func() bool { return isAnsweredAt(callers) }},
		"control of the own interface":  {dep.whole, control, get("http://" + control + "/readyz")},
		"links of a whole instance":     {dep.whole, links, func() bool { return isLinked(links) }},
	}
	for name, ep := range dep.endpoints {
		dep.waitFor(name+" answer", ep.answers)
	}
	return dep
}

// startWhole starts a whole instance, which serves our own interface, and a stand-in of a service that announces itself there.
func (dep *deployment) startWhole(settings string) (whole *process, callers, control, links string) {
	dep.t.Helper()
	ports, err := reserver.ReservePorts(3)
	if err != nil {
		dep.t.Fatal(err)
	}
	address := func(n int) string { return fmt.Sprintf("127.0.0.3:%d", ports[n]) }
	callers, control, links = address(0), address(1), address(2)
	document, err := filepath.Abs("../../examples/tazy-fit.ini")
	if err != nil {
		dep.t.Fatal(err)
	}
	whole = dep.start("whole", fmt.Sprintf("[instance]\nname = w1\ndata-centre = almaty-a\n[listen]\ncallers = %s\ncontrol = %s\nlinks = %s\n"+
		"[document]\nfile = %s\n[servers]\nsilence = 1m\n[log]\nlevel = warn\n", callers, control, links, document)+settings)
	dep.waitFor("the whole instance is ready", func() bool {
		status, _ := request(http.MethodGet, "http://"+control+"/readyz", nil)
		return status == http.StatusOK
	})
	desk := exec.Command(dep.binary, "imitate", "service", "--name", "desk-01", "--data-centre", "almaty-a", "--service", "coat-desk", "--to", control)
	if err := desk.Start(); err != nil {
		dep.t.Fatal(err)
	}
	dep.t.Cleanup(func() {
		_ = desk.Process.Kill()
		_ = desk.Wait()
	})
	return whole, callers, control, links
}

// isServed reports whether an order is answered by the backend server.
func (dep *deployment) isServed() bool {
	status, text := request(http.MethodPost, "http://"+dep.callersAddr+"/order/x", strings.NewReader("two coats"))
	return status == http.StatusOK && text == "ok"
}

// isRelayed reports whether the entry instance relays a connection to the backend server.
func (dep *deployment) isRelayed() bool {
	server := dep.backend.Listener.Addr().String()
	return answersWith(dep.tunnelsAddr, "CONNECT "+server+" HTTP/1.1\r\nHost: "+server+"\r\n\r\n", http.StatusOK)
}

// isLinked reports whether an address accepts the link of an instance.
func isLinked(address string) bool {
	return answersWith(address, "GET /link HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n", http.StatusSwitchingProtocols)
}

// answersWith reports whether the answer to a request has the given status.
func answersWith(address, text string, status int) bool {
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		return false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	return err == nil && res.StatusCode == status
}

// isAnsweredAt reports whether a lookup over our own interface is answered by the backend server.
func isAnsweredAt(address string) bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/services/coat-desk/catalogue/x", nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer key-adoption-app")
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// expect fails the test unless the address still answers an ordinary request, and its process has stayed within its machine.
func (dep *deployment) expect(ep endpoint) {
	dep.t.Helper()
	dep.waitFor("an ordinary request is answered", ep.answers)
	dep.checkProcess("the process", ep.process, dep.bounds[ep.process], dep.files)
}

// sendToEach sends a crowd to each address of each process, one after the other.
func (dep *deployment) sendToEach(connections int, run func(n int, conn net.Conn)) {
	t := dep.t
	for name, ep := range dep.endpoints {
		t.Run(name, func(t *testing.T) {
			dep.t = t
			leave := dep.launch(ep.address, connections, run)
			dep.expect(ep)
			leave()
		})
	}
	dep.t = t
}

// sendToAll sends crowds to all addresses of each process at the same time.
func (dep *deployment) sendToAll(connections int, run func(n int, conn net.Conn)) {
	dep.t.Helper()
	var wg sync.WaitGroup
	for _, ep := range dep.endpoints {
		wg.Go(func() {
			leave := dep.launch(ep.address, connections, run)
			dep.t.Cleanup(leave)
		})
	}
	wg.Wait()
	for _, ep := range dep.endpoints {
		dep.expect(ep)
	}
}
