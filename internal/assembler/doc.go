// Package assembler runs a fleet of instances and simulated backend servers in one process, for the demo, the
// benchmarks and the tests.
package assembler
