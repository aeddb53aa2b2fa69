// Package limiter bounds what callers can make a process hold: connections, and the bytes of requests from the first byte of their heads
// on. When a bound is reached, unfinished requests that are late give way, the largest first; what is left is refused.
package limiter
