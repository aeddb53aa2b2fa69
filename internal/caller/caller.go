package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/eelgrasshook/eelgrasshook/internal/receiver"
)

// maxEventBytes is the largest event of a stream that is accepted.
const maxEventBytes = 1 << 20

// Caller sends the requests of one workspace to one instance, or to an engine directly.
type Caller struct {
	baseURL string
	apiKey  string
	client  *http.Client
}

// NewCaller returns a caller for the instance at the given address; an empty key marks an engine that is called
// directly.
func NewCaller(address, apiKey string) *Caller {
	return &Caller{baseURL: "http://" + address, apiKey: apiKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// IsDirect reports whether the caller sends requests to an engine directly, without an instance in between.
func (c *Caller) IsDirect() bool {
	return c.apiKey == ""
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Prompt is one chat request to a model.
type Prompt struct {
	Model          string
	Text           string
	SessionID      string
	SessionToken   string
	IdempotencyKey string
	MaxTokens      int
	Stream         bool
	// OnText is called with the text of each streamed chunk as it arrives, unless it is nil.
	OnText func(text string)
}

// Answer is the content and the metadata of a response.
type Answer struct {
	Status    int
	RequestID string
	Version   string
	Text      string
	// Chunks is the number of chunks that arrived.
	Chunks int
	Billed bool
	// SessionToken is the session token to send with the next request of the session.
	SessionToken string
	// PreviousVersion is the version that the session used before, empty unless it was moved to another one.
	PreviousVersion string
	// ReplayedRequestID is the id of the request whose stored answer this is, empty for a new answer.
	ReplayedRequestID string
	// TimeToFirstChunk is the time to the first chunk.
	TimeToFirstChunk time.Duration
	// Duration is the time to the end of the answer.
	Duration time.Duration
}

// Error is a refusal that the instance returned.
type Error struct {
	Status    int
	Type      string
	Message   string
	RequestID string
	Ran       receiver.Ran
}

// Error returns the refusal with its status, its type and whether the request ran.
func (e *Error) Error() string {
	return fmt.Sprintf("status %d, %s (ran: %s): %s", e.Status, e.Type, e.Ran, e.Message)
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat sends a chat request and checks that the answer is complete. The error is an *Error when the instance refused.
func (c *Caller) Chat(ctx context.Context, p Prompt) (Answer, error) {
	body, err := json.Marshal(chatRequest{Model: p.Model, Messages: []chatMessage{{"user", p.Text}}, MaxTokens: p.MaxTokens, Stream: p.Stream})
	if err != nil {
		return Answer{}, trace.Wrap(err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	setNonEmpty(header, receiver.HeaderSession, p.SessionID)
	setNonEmpty(header, receiver.HeaderSessionToken, p.SessionToken)
	setNonEmpty(header, receiver.HeaderIdempotencyKey, p.IdempotencyKey)
	start := time.Now()
	res, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	a, err := readChatAnswer(res, start, p.OnText)
	a.Duration = time.Since(start)
	return a, err
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Do sends a request with the workspace's API key. The response's body must be closed by the caller of Do.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	res, err := c.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	return res, nil
}

// CallService sends a request to a plain service and returns the complete answer. The error is an *Error when the
// instance refused.
func (c *Caller) CallService(ctx context.Context, method, path, idempotencyKey string, body []byte) (Answer, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	setNonEmpty(header, receiver.HeaderIdempotencyKey, idempotencyKey)
	start := time.Now()
	res, err := c.Do(ctx, method, path, header, body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	a := answerFromHeader(res)
	a.Text = string(raw)
	a.Duration = time.Since(start)
	if err != nil {
		return a, trace.ConnectionProblem(err, "cut answer: %v", err)
	}
	if refusal := parseRefusal(res, raw); refusal != nil {
		return a, refusal
	}
	return a, nil
}

func answerFromHeader(res *http.Response) Answer {
	h := res.Header
	return Answer{
		Status: res.StatusCode, RequestID: h.Get(receiver.HeaderRequestID), Version: h.Get(receiver.HeaderVersion),
		Billed: h.Get(receiver.HeaderBilled) == "yes", SessionToken: h.Get(receiver.HeaderSessionToken),
		PreviousVersion: h.Get(receiver.HeaderSessionMoved), ReplayedRequestID: h.Get(receiver.HeaderReplayed),
	}
}

// parseRefusal returns the refusal that a body carries, or nil.
func parseRefusal(res *http.Response, raw []byte) *Error {
	errorFields := gjson.GetBytes(raw, "error")
	if !errorFields.Get("request-id").Exists() {
		return nil
	}
	return &Error{
		Status: res.StatusCode, Type: errorFields.Get("type").String(), Message: errorFields.Get("message").String(),
		RequestID: errorFields.Get("request-id").String(), Ran: receiver.Ran(errorFields.Get("ran").String()),
	}
}

func readChatAnswer(res *http.Response, start time.Time, onText func(string)) (Answer, error) {
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return readChatStream(res, start, onText)
	}
	a := answerFromHeader(res)
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return a, trace.ConnectionProblem(err, "cut answer: %v", err)
	}
	if refusal := parseRefusal(res, raw); refusal != nil {
		return a, refusal
	}
	a.TimeToFirstChunk = time.Since(start)
	a.Text = gjson.GetBytes(raw, "choices.0.message.content").String()
	a.Chunks = 1
	if gjson.GetBytes(raw, "choices.0.finish_reason").String() == "" {
		return a, trace.BadParameter("the answer has no finish reason: %.200s", raw)
	}
	return a, nil
}

func readChatStream(res *http.Response, start time.Time, onText func(string)) (Answer, error) {
	a := answerFromHeader(res)
	var text strings.Builder
	for event, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a, trace.ConnectionProblem(err, "cut stream: %v", err)
		}
		if event.Type == "error" {
			return a, parseRefusal(res, []byte(event.Data))
		}
		if event.Data == "[DONE]" {
			return finishStream(res, a, text.String())
		}
		if a.Chunks == 0 {
			a.TimeToFirstChunk = time.Since(start)
		}
		a.Chunks++
		delta := gjson.Get(event.Data, "choices.0.delta.content").Str
		if onText != nil && delta != "" {
			onText(delta)
		}
		text.WriteString(delta)
	}
	return a, trace.ConnectionProblem(nil, "the stream ended without its end mark")
}

func finishStream(res *http.Response, a Answer, text string) (Answer, error) {
	a.Text = text
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return a, trace.ConnectionProblem(err, "cut after the end mark: %v", err)
	}
	if a.Status != http.StatusOK {
		return a, trace.BadParameter("status %d", a.Status)
	}
	a.Billed = res.Trailer.Get(receiver.HeaderBilled) == "yes"
	return a, nil
}
