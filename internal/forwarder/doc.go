// Package forwarder sends requests to backend servers byte for byte and returns their responses unchanged.
package forwarder
