package verifier

import (
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"
)

// doneMarker is the data of the SSE event that ends a streamed answer.
const doneMarker = "[DONE]"

// errorEventType is the type of the SSE event that reports an engine error.
const errorEventType = "error"

// Chunk is one verified chunk of a streamed answer.
type Chunk struct {
	// Number is the position of the chunk in the answer, counted from 1.
	Number int64
	// Data is the JSON text of the SSE event.
	Data string
}

// Progress tracks one answer across all attempts to generate it.
type Progress struct {
	// LastChunk is the number of the last accepted chunk; buffered chunks count.
	LastChunk int64
	// HasChunkIDs reports whether the engine numbers its chunks, so that another attempt can resume.
	HasChunkIDs bool
	// HasText reports whether a chunk contained text or a tool call.
	HasText          bool
	FinishReason     string
	PromptTokens     int64
	CompletionTokens int64
	// DroppedChunks counts the repeated chunks that were not emitted again.
	DroppedChunks int64

	lastData  string
	maxTokens int64
	// buffered holds the chunks before the first one with text, so that a retry can still replace an empty answer.
	buffered []Chunk
}

// maxBufferedChunks bounds the chunks without text at the start of an answer.
const maxBufferedChunks = 64

// NewProgress returns the Progress of an answer of at most maxTokens tokens; 0 means no limit.
func NewProgress(maxTokens int) *Progress {
	return &Progress{maxTokens: int64(maxTokens)}
}

// ReadStream reads one attempt's SSE stream and passes each new chunk to emit.
// It returns nil for a complete answer, a *Fault for a defective one (joined with the read error, if any),
// or the error of emit; an event of more than maxEventBytes counts as a read error.
func (p *Progress) ReadStream(body io.Reader, maxEventBytes int, emit func(Chunk) error) error {
	p.discardBuffered()
	position := int64(0)
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Join(newFault(FaultTruncated, "after piece %d", p.LastChunk), err)
		}
		if event.Data == doneMarker {
			return p.checkEnd()
		}
		position++
		chunk, isNew, err := p.accept(event, position)
		if err != nil {
			return err
		}
		if !isNew {
			continue
		}
		if err := p.emitOrBuffer(chunk, emit); err != nil {
			return err
		}
	}
	return newFault(FaultTruncated, "the stream ended after piece %d without an end mark", p.LastChunk)
}

// discardBuffered drops the chunks of an earlier attempt that were not emitted.
func (p *Progress) discardBuffered() {
	if len(p.buffered) == 0 {
		return
	}
	p.LastChunk -= int64(len(p.buffered))
	p.buffered = nil
	p.lastData = ""
	p.FinishReason = ""
}

// emitOrBuffer buffers a chunk until the answer has text, then emits the buffered chunks and this one in order.
func (p *Progress) emitOrBuffer(c Chunk, emit func(Chunk) error) error {
	if !p.HasText {
		p.buffered = append(p.buffered, c)
		if len(p.buffered) > maxBufferedChunks {
			return newFault(FaultEmpty, "%d pieces without text", len(p.buffered))
		}
		return nil
	}
	for len(p.buffered) > 0 {
		first := p.buffered[0]
		p.buffered = p.buffered[1:]
		if err := emit(first); err != nil {
			return err
		}
	}
	return emit(c)
}

// accept validates one event; the result is false for a chunk that was accepted before.
func (p *Progress) accept(event sse.Event, position int64) (Chunk, bool, error) {
	if event.Type == errorEventType {
		return Chunk{}, false, newFault(FaultEngineError, "%.200s", event.Data)
	}
	number, err := p.chunkNumber(event, position)
	if err != nil {
		return Chunk{}, false, err
	}
	if number == p.LastChunk && event.Data != p.lastData && p.lastData != "" {
		return Chunk{}, false, newFault(FaultGap, "two different pieces have number %d", number)
	}
	if number <= p.LastChunk {
		p.DroppedChunks++
		return Chunk{}, false, nil
	}
	if number != p.LastChunk+1 {
		return Chunk{}, false, newFault(FaultGap, "piece %d came after piece %d", number, p.LastChunk)
	}
	if p.FinishReason != "" && !gjson.Get(event.Data, "usage").Exists() {
		return Chunk{}, false, newFault(FaultMalformed, "piece %d came after the finish reason", number)
	}
	if err := p.recordContent(event.Data, number); err != nil {
		return Chunk{}, false, err
	}
	p.LastChunk = number
	p.lastData = event.Data
	return Chunk{Number: number, Data: event.Data}, true, nil
}

// chunkNumber returns the event id, or the position in the stream for engines that send no ids.
func (p *Progress) chunkNumber(event sse.Event, position int64) (int64, error) {
	if event.LastEventID == "" {
		return position, nil
	}
	n, err := strconv.ParseInt(event.LastEventID, 10, 64)
	if err != nil || n < 1 {
		return 0, newFault(FaultMalformed, "the event id %.40q is not a number above 0", event.LastEventID)
	}
	p.HasChunkIDs = true
	return n, nil
}

// recordContent records whether a chunk has text, its finish reason and its token usage.
func (p *Progress) recordContent(data string, number int64) error {
	choice := gjson.Get(data, "choices.0")
	if !choice.Exists() && !gjson.Get(data, "usage").Exists() {
		return newFault(FaultMalformed, "piece %d has neither choices nor usage", number)
	}
	if !p.HasText {
		p.HasText = hasText(choice)
	}
	if finish := choice.Get("finish_reason"); finish.Type == gjson.String {
		p.FinishReason = finish.Str
	}
	if p.FinishReason != "" {
		p.recordUsage(gjson.Get(data, "usage"))
	}
	return nil
}

func hasText(choice gjson.Result) bool {
	return choice.Get("delta.content").Str != "" ||
		choice.Get("message.content").Str != "" ||
		choice.Get("text").Str != "" ||
		choice.Get("delta.tool_calls.0").Exists() ||
		choice.Get("message.tool_calls.0").Exists()
}

func (p *Progress) recordUsage(usage gjson.Result) {
	if !usage.IsObject() {
		return
	}
	p.PromptTokens = usage.Get("prompt_tokens").Int()
	p.CompletionTokens = usage.Get("completion_tokens").Int()
}

// checkEnd runs when the answer has ended; it requires a finish reason, text and a token count that fits both
// maxTokens and the finish reason.
func (p *Progress) checkEnd() error {
	switch {
	case p.FinishReason == "":
		return newFault(FaultTruncated, "the end mark came after piece %d without a finish reason", p.LastChunk)
	case !p.HasText:
		return newFault(FaultEmpty, "%d pieces without text", p.LastChunk)
	case p.CompletionTokens <= 0:
		return newFault(FaultTokenCount, "no count of generated tokens")
	case p.maxTokens > 0 && p.CompletionTokens > p.maxTokens:
		return newFault(FaultTokenCount, "%d tokens, more than the %d asked for", p.CompletionTokens, p.maxTokens)
	case p.maxTokens > 0 && p.FinishReason == "length" && p.CompletionTokens != p.maxTokens:
		return newFault(FaultTokenCount, "finish reason length after %d of %d tokens", p.CompletionTokens, p.maxTokens)
	}
	return nil
}
