// Package keeper stores one value on disk and replaces it atomically, for state that only makes a restart faster.
package keeper
