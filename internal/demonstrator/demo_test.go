package demonstrator

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

func TestDemoKeepsEveryPromise(t *testing.T) {
	var out bytes.Buffer
	if err := NewDemo(&out).WithPhaseDuration(400 * time.Millisecond).Run(context.Background()); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"consultation", "resent order", "every promise was kept"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
}
