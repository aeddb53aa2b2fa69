// Package subscriber keeps the policy, backend servers and roll-outs of an entry instance up to date.
package subscriber
