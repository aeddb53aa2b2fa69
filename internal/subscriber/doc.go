// Package subscriber keeps what an entry instance knows of policy, backend servers and roll-outs up to date.
package subscriber
