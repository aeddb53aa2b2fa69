// Package applier is the replicated state machine: the same commands in the same order give the same state on every
// member.
package applier
