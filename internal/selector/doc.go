// Package selector chooses the model version that runs a request.
package selector
