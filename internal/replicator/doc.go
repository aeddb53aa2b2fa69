// Package replicator implements the Raft consensus protocol as a pure state machine: elections, log replication, leader
// leases and membership changes.
package replicator
