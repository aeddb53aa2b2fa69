package forwarder

// HandlePathChange closes the idle direct connections to the servers that are reached through other instances now: they may
// have gone silent. Requests in flight keep theirs.
func (f *Forwarder) HandlePathChange() {
	for _, list := range f.fleetView.Load().servers {
		for _, s := range list {
			if f.deps.Paths.IsDetour(s.Address) {
				s.pool.CloseDirect()
			}
		}
	}
}

// IsServer reports whether an address is that of a backend server that is not gone.
func (f *Forwarder) IsServer(address string) bool {
	return f.fleetView.Load().addresses[address]
}
