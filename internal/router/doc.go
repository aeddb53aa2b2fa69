// Package router runs requests through the filters in order: receive, admit, select, claim, place, dispatch, verify,
// bill, reply.
package router
