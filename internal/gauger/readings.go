package gauger

import "slices"

const (
	// keptReadings is the number of readings that an estimate is taken from.
	keptReadings = 9
	// Usual is the reading of a machine that works as usual, in percent.
	Usual = 100
	// minReading and maxReading bound the readings that are believed.
	minReading, maxReading = 10, 2000
)

// Readings are the last readings of one incarnation of a backend server, each the time that work takes in percent of the usual one.
type Readings struct {
	last  [keptReadings]int
	count int
}

// Add adds a reading; one that cannot be right is ignored.
func (r *Readings) Add(percent int) {
	if percent < minReading || percent > maxReading {
		return
	}
	r.last[r.count%keptReadings] = percent
	r.count++
}

// Median returns the median of the last readings and their number.
func (r *Readings) Median() (percent, count int) {
	count = min(r.count, keptReadings)
	if count == 0 {
		return Usual, 0
	}
	sorted := slices.Clone(r.last[:count])
	slices.Sort(sorted)
	return sorted[(count-1)/2], count
}
