// Package dispatcher sends one attempt of a request to one backend server and reports whether it may have run.
package dispatcher
