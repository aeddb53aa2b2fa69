// Package keeper keeps a value on disk that is replaced whole, for state that only speeds a restart up.
package keeper
