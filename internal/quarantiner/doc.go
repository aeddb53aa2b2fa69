// Package quarantiner detects requests that crash backend servers and blocks them after the second crash.
package quarantiner
