package commander

import (
	"context"

	"github.com/eelgrasshook/eelgrasshook/pkg/operator"
)

func (c *Commander) addDrain() {
	cmd := c.app.Command("drain", "Keep new work from a backend server until it starts anew; its work in progress finishes.\n\nExample: eelgrasshook drain fit-07 --at 127.0.0.1:8090 --at 127.0.0.1:8091")
	server := cmd.Arg("server", "Name that the backend server announces.").Required().String()
	addresses := addressFlag(cmd)
	c.commands["drain"] = func() error { return c.drain(*server, *addresses) }
}

func (c *Commander) drain(server string, addresses []string) error {
	for _, address := range addresses {
		if err := operator.NewClient(address).Drain(context.Background(), server); err != nil {
			return err
		}
		if err := c.printf("%s: %s receives no new work\n", address, server); err != nil {
			return err
		}
	}
	return nil
}
