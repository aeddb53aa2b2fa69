// Package rationer divides the request rate that a backend server allows among the instances that send requests to it.
package rationer
