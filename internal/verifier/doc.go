// Package verifier checks the answers of engines: it drops repeated chunks of a stream and detects incomplete answers.
package verifier
