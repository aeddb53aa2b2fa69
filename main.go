// Command eelgrasshook routes requests to model versions and plain services.
package main

import (
	"os"

	"github.com/eelgrasshook/eelgrasshook/internal/commander"
)

func main() {
	os.Exit(commander.NewCommander(os.Stdin, os.Stdout, os.Stderr).Run(os.Args[1:]))
}
