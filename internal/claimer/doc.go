// Package claimer runs each non-idempotent request at most once and replays its stored answer to resends.
package claimer
