// Package gauger estimates how fast the machines of backend servers work. A server that shares its machine tells with each answer how
// long work takes at that moment; single readings change many times a second, so the estimate is the median of the last ones, of all
// instances together.
package gauger
