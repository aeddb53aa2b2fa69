// Package coordinator joins an instance to the fleet: it tracks which instances are reachable, which one leads the
// replicated record, which revisions are in force where, and what an instance may do while it is cut off.
package coordinator
