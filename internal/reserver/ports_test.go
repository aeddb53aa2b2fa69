package reserver

import "testing"

func TestPortsReturnsNoPortTwice(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		ports, err := ReservePorts(10)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range ports {
			if seen[p] {
				t.Fatalf("port %d was returned twice", p)
			}
			seen[p] = true
		}
	}
}
