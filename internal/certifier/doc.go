// Package certifier loads TLS certificates from files and reloads a changed certificate without a restart.
package certifier
