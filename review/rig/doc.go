// Command rig plays the scripted cases of the second independent review. It starts the program as separate processes with the
// commands of the deploy file, plays callers, backend servers and the operator itself, and judges what these have seen.
package main
