package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const rolloutsManifest = `{"version":1,"routes":[
{"name":"read","host":"h.example","path_prefix":"/read/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"auth_exempt":false}],
"services":[{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["key-1"],"priority":1}]}`

const (
	// rolloutSeconds is the time limit of each roll-out.
	rolloutSeconds = 12
	// secondAfter is the time between the two orders.
	secondAfter = 5 * time.Second
	// ackBound is how long an order may be resent.
	ackBound = 4 * time.Second
)

// rollouts is the case of an order to roll a version out that comes while another one of the service is rolled out.
type rollouts struct {
	f   *fleet
	rec *record
}

func runRollouts(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	r := &rollouts{f: f, rec: rec}
	if err := f.publish(rolloutsManifest); err != nil {
		return verdict{}, err
	}
	stop, err := r.startVersion("v1")
	defer stop()
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if err := f.waitReady(); err != nil {
		return verdict{}, err
	}
	return r.play(trouble)
}

// startVersion starts three runners of a version.
func (r *rollouts) startVersion(version string) (func(), error) {
	var list []*runner
	stop := func() {
		for _, s := range list {
			s.stop()
		}
	}
	for n, zone := range zoneNames() {
		s, err := newRunner(r.f, fmt.Sprint(version, "x", n), "desk", zone, 6, r.answer)
		if err != nil {
			return stop, err
		}
		s.mu.Lock()
		s.version = version
		s.mu.Unlock()
		list = append(list, s)
	}
	return stop, nil
}

func (r *rollouts) answer(s *runner, c net.Conn, req *http.Request, _ []byte) {
	time.Sleep(20 * time.Millisecond)
	reply(c, req, http.StatusOK, "X-Response-Seal: seal\r\n", "read at "+s.currentID())
}

// order sends an order until it is acknowledged or refused, for ackBound at most.
func (r *rollouts) order(target string) (bool, error) {
	body := fmt.Sprintf(`{"service":"desk","target":%q,"duration_s":%d}`, target, rolloutSeconds)
	for deadline := time.Now().Add(ackBound); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, a := range r.f.controlAddresses() {
			status, text, err := r.f.call(http.MethodPost, "http://"+a+"/rollouts", body)
			r.rec.say("operator POST /rollouts desk to %s at %s: %d %s %v", target, a, status, text, err)
			if status/100 == 2 || status/100 == 4 {
				return status/100 == 2, nil
			}
		}
	}
	return false, fmt.Errorf("the order of %s got no clear answer", target)
}

// read reads the roll-out at any control instance; the target is empty if none answers.
func (r *rollouts) read() (target, state string) {
	for _, a := range r.f.controlAddresses() {
		status, text, err := r.f.call(http.MethodGet, "http://"+a+"/rollouts/desk", "")
		r.rec.printf("operator GET /rollouts/desk at %s: %d %s %v", a, status, text, err)
		var answer struct{ State, Target string }
		if err == nil && status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.Target, answer.State
		}
	}
	return "", ""
}

// play orders v2 and, with trouble, v3 while v2 is rolled out. Right after the last acknowledgement all processes are
// killed; what was acknowledged must be there when they are back.
func (r *rollouts) play(trouble bool) (verdict, error) {
	wanted, acked := "v2", false
	for n, target := range []string{"v2", "v3"} {
		if n == 1 && !trouble {
			break
		}
		ok, err := r.order(target)
		if err != nil || n == 0 && !ok {
			return verdict{}, fmt.Errorf("%s is not acknowledged: %v", target, err)
		}
		if n == 1 {
			acked, wanted = ok, target
			break
		}
		stop, err := r.startVersion(target)
		defer stop()
		if err != nil {
			return verdict{}, err
		}
		time.Sleep(secondAfter)
	}
	if trouble && !acked {
		return verdict{text: "the order of v3 was refused"}, nil
	}
	if trouble {
		stop, err := r.startVersion(wanted)
		defer stop()
		if err != nil {
			return verdict{}, err
		}
	}
	if err := r.killAll(); err != nil {
		return verdict{}, err
	}
	return r.readBack(wanted), nil
}

// killAll kills all processes at once; they are back after a second.
func (r *rollouts) killAll() error {
	for _, i := range r.f.all() {
		if err := r.f.signal(i, syscall.SIGKILL); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, i := range r.f.all() {
		<-i.exited
		if err := r.f.start(i, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack reads the roll-out until it names the wanted target, past the time limits of both orders.
func (r *rollouts) readBack(wanted string) verdict {
	last := ""
	for end := time.Now().Add(2*rolloutSeconds*time.Second + recoveryBound); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		target, state := r.read()
		if target == wanted {
			return verdict{text: fmt.Sprintf("the acknowledged roll-out to %s is there: %s", target, state)}
		}
		if target != "" {
			last = target + " " + state
		}
	}
	return verdict{broken: true, text: fmt.Sprintf("the acknowledged roll-out to %s is gone; the last one read is %q", wanted, last)}
}
