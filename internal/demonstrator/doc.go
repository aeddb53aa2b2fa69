// Package demonstrator runs the demo: a small fleet under the example workloads, with a roll-out, failures and the
// withdrawal of a version.
package demonstrator
