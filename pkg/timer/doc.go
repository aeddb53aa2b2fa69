// Package timer provides the clock from which every other package reads the time.
package timer
