// Package administrator serves the control API of an instance: announcements of backend servers, operators' requests
// and metrics.
package administrator
