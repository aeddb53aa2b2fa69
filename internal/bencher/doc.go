// Package bencher measures the request path against direct calls, document changes and control traffic at several sizes
// of the fleet, and the costs per unit behind the capacity page.
package bencher
