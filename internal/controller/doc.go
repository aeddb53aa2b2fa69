// Package controller owns the control state of an instance in one goroutine and publishes immutable views of it.
package controller
