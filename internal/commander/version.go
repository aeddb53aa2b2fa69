package commander

import (
	"runtime"
)

func (c *Commander) addVersion() {
	c.app.Command("version", "Print the version of the program.")
	c.commands["version"] = func() error { return c.printf("eelgrasshook %s, %s\n", Version, runtime.Version()) }
}
