// Package observer provides the logger, the metrics registry and the clock that all other packages use.
package observer
