// Package admitter implements admission control: limits, fair queueing between workspaces, deadlines and load shedding.
package admitter
