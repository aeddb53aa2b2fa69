// Package crowder holds the tests of crowds of callers that do not behave. They start the program's own processes on loopback addresses
// and check that these live on, stay within the memory and descriptors of their machines, and serve an ordinary request afterwards. No
// bound depends on the speed of the machine. CROWDS=1 runs them, one at a time and apart from other load, as .ci/run does.
package crowder
