package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// routes are those of a small deployment: a stream that may be resumed, an order that must not be repeated, and a lookup.
const routes = `{"version":%d,"routes":[
{"name":"consult","host":"h.example","path_prefix":"/consult/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1500,"priority":1,"service":"model","max_attempts":3,"auth_exempt":false,"sticky":true,"resumable":true,"gap_target_ms":800},
{"name":"order","host":"h.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":1,"auth_exempt":false},
{"name":"lookup","host":"h.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":2,"auth_exempt":false}],
"services":[{"name":"model","health_path":"/health","max_conns":250,"protocol":"h1","tls":false,"engine":{"slots":32,"kv_cache_tokens":543383,"kv_token_bytes":163840,"link_mbps":1100000.0,"moves":false,"backups":false,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m1","cost":0.1}]}},
{"name":"desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"kennel","api_keys":["key-of-the-kennel"],"priority":0}]}`

const apiKey = "key-of-the-kennel"

// startTime bounds the time until a fleet serves.
const startTime = 20 * time.Second

// serveManifest sends the first manifest and waits until every entry instance says that it is ready.
func (f *fleet) serveManifest() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(startTime)
	for n := 0; ; n++ {
		status, err := put(client, "http://"+f.controlAt(f.controls[n%len(f.controls)])+"/config", fmt.Sprintf(routes, 1))
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return errors.New("the manifest is not accepted")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range f.entries {
		for !f.isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.record.note("operator: manifest 1 is accepted, all entry instances are ready")
	return nil
}

// isReady asks an entry instance whether it is ready, as the platform does.
func (f *fleet) isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + f.readyAt(m) + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// changeManifests sends a manifest every two seconds, each one again and again to the next control instance until it is
// acknowledged, and keeps the longest time without an acknowledgement.
func (f *fleet) changeManifests(until time.Time) (longest time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for version, n := 2, 0; time.Now().Before(until); version++ {
		began := time.Now()
		for isAcknowledged := false; !isAcknowledged && time.Now().Before(until); n++ {
			target := f.controls[n%len(f.controls)]
			status, err := put(client, "http://"+f.controlAt(target)+"/config", fmt.Sprintf(routes, version))
			isAcknowledged = err == nil && status == http.StatusOK
			f.record.note("operator: manifest %d at %s: %d %v", version, target.name, status, err)
			if !isAcknowledged {
				time.Sleep(100 * time.Millisecond)
			}
		}
		longest = max(longest, time.Since(began))
		time.Sleep(2 * time.Second)
	}
	return longest
}
