// Package gauger lets the instances of a fleet share what backend servers report with their answers, since one instance meets each of
// many servers seldom: their load, and how fast their machines work. A server that shares its machine tells how long work takes at that
// moment; single readings change many times a second, so the estimate is the median of the last ones, of all instances together.
package gauger
