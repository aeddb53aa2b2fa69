// Package indexer builds the immutable views of the environment documents and the backend servers that requests are
// routed by.
package indexer
