// Package tunneler carries connections to backend servers through another instance. The relaying instance copies bytes
// and knows nothing of requests, so everything that holds for a request at its instance holds on this way too.
package tunneler
