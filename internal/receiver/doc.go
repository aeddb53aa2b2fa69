// Package receiver is the HTTP server side for callers: it parses and validates requests and writes answers.
package receiver
