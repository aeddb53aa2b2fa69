package commander

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/internal/demonstrator"
)

func (c *Commander) addDemo() {
	c.app.Command("demo", "Run a small fleet in this process under the users' workloads for about 20 seconds and check every promise.")
	c.commands["demo"] = func() error { return demonstrator.NewDemo(c.out).Run(context.Background()) }
}
