// Package caller is a client of the request API that checks that each answer is complete. The demo, the bench and the
// tests use it.
package caller
