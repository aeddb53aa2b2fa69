// Package pinner pins each session to a model version, in memory and in signed tokens that callers send back.
package pinner
