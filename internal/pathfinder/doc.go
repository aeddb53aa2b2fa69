// Package pathfinder chooses how an instance reaches backend servers: directly, or through another instance while the direct
// way is cut.
package pathfinder
