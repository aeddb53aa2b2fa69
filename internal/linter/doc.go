// Package linter finds what is wrong with a policy before it is sent: entries that can never match, limits that contradict each other,
// and what differs from another policy.
package linter
