// Package imitator provides fake model engines and plain services for tests, the demo, the benches and manual trials.
package imitator
