// Package explainer records the decisions made for recent requests, with what was known and the options rejected.
package explainer
