package applier

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
)

// maxPolicyText bounds the decompressed text of a policy, in bytes.
const maxPolicyText = 32 << 20

// NewPolicy returns a policy with compressed text, because the text is sent between data centres several times.
func NewPolicy(version int64, text []byte) (Policy, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return Policy{}, trace.Wrap(err)
	}
	if _, err := w.Write(text); err != nil {
		return Policy{}, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return Policy{}, trace.Wrap(err)
	}
	return Policy{Version: version, Text: b.Bytes()}, nil
}

// Decompressed returns the decompressed text, as the operator sent it; it fails if the text is longer than 32 MiB.
func (p Policy) Decompressed() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Text)), maxPolicyText+1))
	if err == nil && len(text) > maxPolicyText {
		err = trace.LimitExceeded("the text of policy %d is longer than %d bytes", p.Version, maxPolicyText)
	}
	return text, trace.Wrap(err)
}
