// Package placer chooses the backend server that a request is sent to.
package placer
