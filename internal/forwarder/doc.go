// Package forwarder hands requests to backend servers byte for byte and returns their answers unchanged.
package forwarder
