package reserver

import "testing"

func TestNoPortIsGivenTwice(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		ports, err := Ports(10)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range ports {
			if seen[p] {
				t.Fatalf("port %d was given twice before anybody used it", p)
			}
			seen[p] = true
		}
	}
}
