// Package limiter bounds what callers can make a process hold: connections, and the bytes of requests that are being read or served.
// When a bound is reached, the callers that make no progress give way, the largest first; what is left is refused.
package limiter
