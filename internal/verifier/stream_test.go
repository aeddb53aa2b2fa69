package verifier

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func chunkEvent(id int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
}

func finalEvent(id int, reason string, tokens int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\n", id, reason, tokens)
}

const doneEvent = "data: [DONE]\n\n"

func TestReadDetectsIncompleteStreams(t *testing.T) {
	tests := map[string]struct {
		body       string
		maxTokens  int
		wantFault  FaultKind
		wantChunks int
	}{
		"complete":                         {chunkEvent(1, "a") + chunkEvent(2, "b") + finalEvent(3, "stop", 2) + doneEvent, 0, "", 3},
		"repeated chunks":                  {chunkEvent(1, "a") + chunkEvent(1, "a") + chunkEvent(2, "b") + chunkEvent(1, "a") + finalEvent(3, "stop", 2) + doneEvent, 0, "", 3},
		"no event ids":                     {strings.ReplaceAll(chunkEvent(1, "a")+finalEvent(2, "stop", 1)+doneEvent, "id: ", ": "), 0, "", 2},
		"no end event":                     {chunkEvent(1, "a") + finalEvent(2, "stop", 1), 0, FaultTruncated, 2},
		"no finish reason":                 {chunkEvent(1, "a") + doneEvent, 0, FaultTruncated, 1},
		"empty stream":                     {"", 0, FaultTruncated, 0},
		"empty text":                       {chunkEvent(1, "") + finalEvent(2, "stop", 1) + doneEvent, 0, FaultEmpty, 0},
		"empty first chunk":                {chunkEvent(1, "") + chunkEvent(2, "a") + finalEvent(3, "stop", 1) + doneEvent, 0, "", 3},
		"too many chunks without text":     {strings.Repeat(": x\n\n", 3) + emptyChunkEvents(200), 0, FaultEmpty, 0},
		"only an end event":                {doneEvent, 0, FaultTruncated, 0},
		"gap":                              {chunkEvent(1, "a") + chunkEvent(3, "c") + finalEvent(4, "stop", 3) + doneEvent, 0, FaultGap, 1},
		"two chunks with one id":           {chunkEvent(1, "a") + chunkEvent(1, "x") + finalEvent(2, "stop", 1) + doneEvent, 0, FaultGap, 1},
		"chunk after finish reason":        {chunkEvent(1, "a") + finalEvent(2, "stop", 1) + chunkEvent(3, "b") + doneEvent, 0, FaultMalformed, 2},
		"no token count":                   {chunkEvent(1, "a") + finalEvent(2, "stop", 0) + doneEvent, 0, FaultTokenCount, 2},
		"more tokens than requested":       {chunkEvent(1, "a") + finalEvent(2, "stop", 9) + doneEvent, 8, FaultTokenCount, 2},
		"finish reason length below limit": {chunkEvent(1, "a") + finalEvent(2, "length", 5) + doneEvent, 8, FaultTokenCount, 2},
		"finish reason length at limit":    {chunkEvent(1, "a") + finalEvent(2, "length", 8) + doneEvent, 8, "", 2},
		"engine error":                     {chunkEvent(1, "a") + "event: error\ndata: {\"message\":\"oom\"}\n\n", 0, FaultEngineError, 1},
		"neither choices nor usage":        {"id: 1\ndata: {\"hello\":1}\n\n" + doneEvent, 0, FaultMalformed, 0},
		"event id is not a number":         {"id: x\ndata: {\"choices\":[{}]}\n\n" + doneEvent, 0, FaultMalformed, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			chunks := 0
			p := NewProgress(tt.maxTokens)
			err := p.ReadStream(strings.NewReader(tt.body), 1<<16, func(Chunk) error { chunks++; return nil })
			var f *Fault
			if errors.As(err, &f) != (tt.wantFault != "") || (f != nil && f.Kind != tt.wantFault) {
				t.Errorf("got %v, want fault %q", err, tt.wantFault)
			}
			if chunks != tt.wantChunks {
				t.Errorf("%d chunks emitted, want %d", chunks, tt.wantChunks)
			}
		})
	}
}

func emptyChunkEvents(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(chunkEvent(i+1, ""))
	}
	return b.String()
}

func TestReadReplacesEmptyAttempt(t *testing.T) {
	var got []int64
	emit := func(c Chunk) error { got = append(got, c.Number); return nil }
	p := NewProgress(0)
	if err := p.ReadStream(strings.NewReader(chunkEvent(1, "")+finalEvent(2, "stop", 1)+doneEvent), 1<<16, emit); err == nil || len(got) > 0 {
		t.Fatalf("got error %v and chunks %v, want an error and no chunks", err, got)
	}
	if err := p.ReadStream(strings.NewReader(chunkEvent(1, "a")+chunkEvent(2, "b")+finalEvent(3, "stop", 2)+doneEvent), 1<<16, emit); err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(got) != "[1 2 3]" {
		t.Errorf("got chunks %v, want [1 2 3]", got)
	}
}

func TestReadResumesWithoutGapOrRepeat(t *testing.T) {
	tests := map[string]string{
		"after the last chunk":  chunkEvent(3, "c") + finalEvent(4, "stop", 3) + doneEvent,
		"from the beginning":    chunkEvent(1, "a") + chunkEvent(2, "b") + chunkEvent(3, "c") + finalEvent(4, "stop", 3) + doneEvent,
		"with a repeated chunk": chunkEvent(2, "b") + chunkEvent(3, "c") + finalEvent(4, "stop", 3) + doneEvent,
	}
	for name, secondAttempt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int64
			emit := func(c Chunk) error { got = append(got, c.Number); return nil }
			p := NewProgress(0)
			if err := p.ReadStream(strings.NewReader(chunkEvent(1, "a")+chunkEvent(2, "b")), 1<<16, emit); err == nil {
				t.Fatal("a stream without an end event returned no error")
			}
			if err := p.ReadStream(strings.NewReader(secondAttempt), 1<<16, emit); err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(got) != "[1 2 3 4]" {
				t.Errorf("got chunks %v, want [1 2 3 4]", got)
			}
		})
	}
}

func TestCheckResponseDetectsFaults(t *testing.T) {
	complete := `{"choices":[{"message":{"content":"size 4"},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}`
	tests := map[string]struct {
		body      string
		wantFault FaultKind
	}{
		"complete":         {complete, ""},
		"empty body":       {"", FaultEmpty},
		"truncated JSON":   {complete[:40], FaultMalformed},
		"no text":          {strings.Replace(complete, "size 4", "", 1), FaultEmpty},
		"no finish reason": {strings.Replace(complete, `"stop"`, "null", 1), FaultTruncated},
		"no token count":   {strings.Replace(complete, "2}", "0}", 1), FaultTokenCount},
		"no choices":       {`{"ok":true}`, FaultTruncated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := CheckResponse([]byte(tt.body), 0)
			var f *Fault
			if errors.As(err, &f) != (tt.wantFault != "") || (f != nil && f.Kind != tt.wantFault) {
				t.Errorf("got %v, want fault %q", err, tt.wantFault)
			}
		})
	}
}

func BenchmarkReadPerPiece(b *testing.B) {
	var body strings.Builder
	const chunks = 1000
	for i := 1; i <= chunks; i++ {
		body.WriteString(chunkEvent(i, "word "))
	}
	body.WriteString(finalEvent(chunks+1, "stop", chunks) + doneEvent)
	text := body.String()
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += chunks {
		p := NewProgress(0)
		if err := p.ReadStream(strings.NewReader(text), 1<<16, func(Chunk) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
