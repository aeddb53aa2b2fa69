// Package replayer replays traces through the real routing code in virtual time and compares it with baselines.
package replayer
