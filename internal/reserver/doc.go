// Package reserver reserves loopback ports for fleets that run several instances on one machine.
package reserver
