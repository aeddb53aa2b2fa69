// Package recorder stores entries durably in checksummed journals with batched syncs, and runs an instance's member of
// the replicated record on such a journal.
package recorder
