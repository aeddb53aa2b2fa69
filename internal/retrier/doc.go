// Package retrier limits retries to a share of first attempts, so that the loss of a pool does not cause a retry storm.
package retrier
