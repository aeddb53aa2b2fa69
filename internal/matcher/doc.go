// Package matcher looks up the route, the workspace and the service of a request in the policy in force.
package matcher
