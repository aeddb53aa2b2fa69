package verifier

import "fmt"

// FaultKind classifies the defect of an answer.
type FaultKind string

// Kinds of faults.
const (
	// FaultTruncated is an answer that ends before its finish reason or its end event.
	FaultTruncated FaultKind = "cut"
	// FaultEmpty is an answer without text.
	FaultEmpty FaultKind = "empty"
	// FaultGap is a missing chunk, or two different chunks with the same number.
	FaultGap FaultKind = "gap"
	// FaultMalformed is an answer that does not follow the API's format.
	FaultMalformed FaultKind = "malformed"
	// FaultEngineError is an error that the engine reports.
	FaultEngineError FaultKind = "engine-error"
	// FaultTokenCount is a missing token count, or one that contradicts the request or the finish reason.
	FaultTokenCount FaultKind = "length"
)

// Fault is the error for a defective or incomplete answer.
type Fault struct {
	Kind   FaultKind
	Detail string
}

// Error returns the kind and the detail as text.
func (f *Fault) Error() string {
	return string(f.Kind) + " answer: " + f.Detail
}

func newFault(kind FaultKind, format string, args ...any) *Fault {
	return &Fault{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}
