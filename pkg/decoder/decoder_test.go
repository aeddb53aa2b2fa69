package decoder

import (
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

type sample struct {
	Name    string       `ini:"name" required:"yes"`
	Wait    timer.Millis `ini:"wait" default:"2s" min:"1s" max:"1m"`
	Size    Bytes        `ini:"size" default:"1KiB"`
	Part    Share        `ini:"part" default:"10%"`
	At      Address      `ini:"at"`
	Mode    string       `ini:"mode" default:"a" accept:"a|b"`
	On      bool         `ini:"on" default:"no"`
	Members []string     `ini:"members"`
}

func TestDecodeErrorGivesPositionReasonAndAcceptedValues(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"unknown key":                {"[s]\nname = x\ncolour = red", `f.ini:3: [s] colour: unknown key; accepted: name, wait,`},
		"missing key":                {"[s]\nwait = 3s", `f.ini:1: [s] name: the key is missing`},
		"missing unit":               {"[s]\nname = x\nwait = 5", `f.ini:3: [s] wait: "5" has no unit; accepted: a span with unit`},
		"wrong type":                 {"[s]\nname = x\non = maybe", `"maybe" is neither yes nor no; accepted: yes or no`},
		"below the minimum":          {"[s]\nname = x\nwait = 10ms", `below the least value; accepted: a span with unit ms, s, m or h, such as 250ms, at least 1s`},
		"above the maximum":          {"[s]\nname = x\nwait = 2h", `above the greatest value`},
		"host name":                  {"[s]\nname = x\nat = localhost:80", `"localhost:80" is not an IP literal with a port`},
		"not one of the choices":     {"[s]\nname = x\nmode = c", `"c" is not one of the choices; accepted: a, b`},
		"empty value":                {"[s]\nname =", `the value is empty`},
		"repeated list member":       {"[s]\nname = x\nmembers = a, b, a", `"a" is named twice`},
		"share without percent sign": {"[s]\nname = x\npart = 0.5", `has no % sign`},
		"share above 100%":           {"[s]\nname = x\npart = 101%", `not between 0% and 100%`},
		"size without unit":          {"[s]\nname = x\nsize = 4", `"4" has no unit`},
		"repeated key":               {"[s]\nname = x\nname = y", `f.ini:3: [s] name: the key stands already on line 2`},
		"repeated section":           {"[s]\nname = x\n[s]", `f.ini:3: [s]: the section stands already on line 1`},
		"key without section":        {"name = x", `the key stands before the first section`},
		"line without delimiter":     {"[s]\nname = x\nwhat", `f.ini:3: [s]: malformed line "what"`},
		"malformed header":           {"[S s\nname = x", `malformed section header`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			src, err := Load("f.ini", tt.text)
			if err == nil {
				err = src.Decode("s", &sample{}).Err()
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got error %v, want it to contain %q", err, tt.want)
			}
		})
	}
}

func TestDecodeReportsEveryProblemInLineOrder(t *testing.T) {
	src, err := Load("f.ini", "[s]\non = maybe\nwait = 5\ncolour = red")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(src.Decode("s", &sample{}).Err().Error(), "\n")
	if len(lines) != 4 {
		t.Fatalf("got %d problems, want 4: %v", len(lines), lines)
	}
}

func TestDecodeSetsValuesAndDefaults(t *testing.T) {
	src, err := Load("f.ini", "; comment\n[s]\nname = x ; inline\npart = 12.5%\nsize = 2MiB\nmembers = a, b\n")
	if err != nil {
		t.Fatal(err)
	}
	var s sample
	if err := src.Decode("s", &s).Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "x" || s.Part != 0.125 || s.Size != 2<<20 || s.Wait != 2*timer.Second || len(s.Members) != 2 {
		t.Errorf("unexpected decoded values: %+v", s)
	}
	pairs := NonDefaultPairs(s)
	if len(pairs) != 4 || pairs[1].Value != "2MiB" || pairs[2].Value != "12.5%" {
		t.Errorf("unexpected non-default pairs: %+v", pairs)
	}
}
