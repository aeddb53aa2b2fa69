package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestMarkSlowLimitsMarkedServers(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		firstByteTimes []time.Duration
		answers        int
		age            timer.Millis
		slow           []int
	}{
		"one far slower":                {[]time.Duration{50 * ms, 55 * ms, 60 * ms, 900 * ms}, 10, 0, []int{3}},
		"mark ends after a while":       {[]time.Duration{50 * ms, 55 * ms, 60 * ms, 900 * ms}, 10, maxAnswerAge + 1, nil},
		"all similar":                   {[]time.Duration{50 * ms, 55 * ms, 60 * ms, 70 * ms}, 10, 0, nil},
		"all busy":                      {[]time.Duration{900 * ms, 950 * ms, 800 * ms, 1000 * ms}, 10, 0, nil},
		"too few answers":               {[]time.Duration{50 * ms, 55 * ms, 60 * ms, 900 * ms}, 5, 0, nil},
		"two servers are too few":       {[]time.Duration{50 * ms, 900 * ms}, 10, 0, nil},
		"half are slow, a third marked": {[]time.Duration{50 * ms, 50 * ms, 50 * ms, 900 * ms, 901 * ms, 902 * ms}, 10, 0, []int{4, 5}},
		"difference below the margin":   {[]time.Duration{ms, ms, ms, 15 * ms}, 10, 0, nil},
		"fastest is not the reference":  {[]time.Duration{1 * ms, 300 * ms, 320 * ms, 340 * ms}, 10, 0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var rows []BackendServer
			for i, d := range tt.firstByteTimes {
				b := BackendServer{Announcement: engineAnnouncement(fmt.Sprint(100+i), 1, 1), State: StateServing, Traffic: &Traffic{}}
				for range tt.answers {
					b.Traffic.RecordFirstByte(d, 0)
				}
				rows = append(rows, b)
			}
			MarkSlowOutliers(rows, tt.age)
			var slow []int
			for i, b := range rows {
				if b.Slow {
					slow = append(slow, i)
				}
			}
			if fmt.Sprint(slow) != fmt.Sprint(tt.slow) {
				t.Errorf("marked slow %v, want %v", slow, tt.slow)
			}
		})
	}
}
