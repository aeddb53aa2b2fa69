// Package operator provides a client for the operators' API of an instance.
package operator
