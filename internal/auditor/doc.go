// Package auditor keeps the audit trail, a hash chain of entries in which a changed, dropped or reordered entry is
// detected.
package auditor
