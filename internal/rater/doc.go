// Package rater estimates the quality of each version for each class of requests from ratings, which may be late or
// missing.
package rater
