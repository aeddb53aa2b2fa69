// Package watcher detects bad versions during a roll-out with a sequential test of ratings and faults.
package watcher
