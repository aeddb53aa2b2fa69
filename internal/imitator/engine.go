package imitator

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"goji.io"
	"goji.io/pat"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	defaultTokens = 16
	maxBodyBytes  = 64 << 20
	// MarkerPrefix starts the marker in a prompt; every chunk of the answer begins with that marker.
	MarkerPrefix = "marker-"
)

// EngineConfig sets the speed and the injected faults of a fake engine.
type EngineConfig struct {
	Host          HostConfig
	FirstToken    timer.Millis
	BetweenTokens timer.Millis
	// Unnumbered leaves out the event ids, as engines without resumable streams do.
	Unnumbered bool
	// Stamped makes the text of each chunk its send time, in nanoseconds since the Unix epoch.
	Stamped bool
	// CrashOn is a text that crashes the engine when a request contains it; empty for none.
	CrashOn string
	// OnPiece returns the action before a chunk. Chunks count from 1; chunk 0 is the start of the request.
	// Nil means that no fault is injected.
	OnPiece func(requestID string, chunk int) Action
}

// Engine is a fake model engine with the OpenAI-compatible API.
type Engine struct {
	*host
	cfg EngineConfig
}

// NewEngine returns an engine that is not started yet.
func NewEngine(telemetry observer.Telemetry, cfg EngineConfig) *Engine {
	return &Engine{host: newHost(telemetry, cfg.Host), cfg: cfg}
}

// Start begins to listen and to announce the engine; it fails when the address cannot be bound.
func (e *Engine) Start() error {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/chat/completions"), e.handleCompletion)
	mux.HandleFunc(pat.Post("/v1/completions"), e.handleCompletion)
	return e.start(mux)
}

// completionRequest is a parsed completion request together with its answer.
type completionRequest struct {
	requestID    string
	engineName   string
	isChat       bool
	words        []string
	promptTokens int
	truncated    bool
	lastEventID  int
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req := parseCompletion(r, body)
	if !slices.Contains(e.cfg.Host.Announcement.EngineNames, req.engineName) {
		refuse(w, r, "version "+req.engineName+" is not loaded")
		return
	}
	if e.actionBefore(req.requestID, 0) == ActionRefuse {
		refuse(w, r, "no free slot")
		return
	}
	e.recordRun(r, req.engineName)
	if e.cfg.CrashOn != "" && strings.Contains(string(body), e.cfg.CrashOn) {
		e.crashInHandler()
	}
	if err := e.telemetry.Clock.Sleep(r.Context(), e.cfg.FirstToken); err != nil {
		return
	}
	if gjson.GetBytes(body, "stream").Bool() {
		e.writeStream(w, r, req)
		return
	}
	e.writeWhole(w, req)
}

func parseCompletion(r *http.Request, body []byte) completionRequest {
	prompt := gjson.GetBytes(body, "messages")
	if !prompt.Exists() {
		prompt = gjson.GetBytes(body, "prompt")
	}
	tokens := int(gjson.GetBytes(body, "max_tokens").Int())
	req := completionRequest{requestID: r.Header.Get("X-Request-Id"), engineName: gjson.GetBytes(body, "model").String(), isChat: strings.HasSuffix(r.URL.Path, "chat/completions")}
	if tokens > 0 && tokens < defaultTokens {
		req.truncated = true
	}
	if tokens <= 0 {
		tokens = defaultTokens
	}
	req.promptTokens = max(1, len(prompt.Raw)/4)
	req.words = AnswerWords(prompt.Raw, req.engineName, tokens)
	req.lastEventID, _ = strconv.Atoi(r.Header.Get("Last-Event-ID"))
	return req
}

// AnswerWords returns the n words of the answer to a prompt, which are the same at every engine with that engine name.
func AnswerWords(prompt, engineName string, n int) []string {
	marker := ""
	if i := strings.Index(prompt, MarkerPrefix); i >= 0 {
		marker = strings.FieldsFunc(prompt[i:], func(c rune) bool { return c == '"' || c == ' ' || c == '\\' })[0] + ":"
	}
	seed := xxhash.Sum64String(prompt + engineName)
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("%sw%d-%x ", marker, i+1, (seed>>(i%48))&0xff)
	}
	return words
}

func (e *Engine) actionBefore(requestID string, chunk int) Action {
	if e.cfg.OnPiece == nil {
		return ActionProceed
	}
	return e.cfg.OnPiece(requestID, chunk)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, req completionRequest) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	total := len(req.words)
	for i := req.lastEventID + 1; i <= total; i++ {
		switch e.actionBefore(req.requestID, i) {
		case ActionCrash:
			e.crashInHandler()
		case ActionDisconnect:
			breakConnection()
		case ActionEndEarly:
			e.writeEvent(w, 1, req.chunkJSON("", "stop", total))
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		case ActionRepeat:
			e.writeEvent(w, i-1, req.chunkJSON(req.words[max(0, i-2)], "", 0))
		case ActionSkip:
			continue
		case ActionStall:
			<-r.Context().Done()
			return
		}
		e.writeEvent(w, i, req.chunkJSON(e.chunkText(req, i), "", 0))
		if err := controller.Flush(); err != nil {
			return
		}
		if err := e.telemetry.Clock.Sleep(r.Context(), e.cfg.BetweenTokens); err != nil {
			return
		}
	}
	finish := "stop"
	if req.truncated {
		finish = "length"
	}
	e.writeEvent(w, total+1, req.chunkJSON("", finish, total))
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (e *Engine) chunkText(req completionRequest, chunk int) string {
	if e.cfg.Stamped {
		return strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	return req.words[chunk-1]
}

func (e *Engine) writeEvent(w io.Writer, id int, data string) {
	if !e.cfg.Unnumbered {
		_, _ = fmt.Fprintf(w, "id: %d\n", id)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// chunkJSON formats one streamed chunk as the OpenAI API defines it.
func (req completionRequest) chunkJSON(text, finish string, total int) string {
	reason := "null"
	usage := ""
	if finish != "" {
		reason = strconv.Quote(finish)
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, req.promptTokens, total, req.promptTokens+total)
	}
	if req.isChat {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]%s}`,
			req.requestID, req.engineName, text, reason, usage)
	}
	return fmt.Sprintf(`{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":%s}]%s}`,
		req.requestID, req.engineName, text, reason, usage)
}

func (e *Engine) writeWhole(w http.ResponseWriter, req completionRequest) {
	switch e.actionBefore(req.requestID, 1) {
	case ActionDisconnect, ActionCrash:
		breakConnection()
	case ActionEndEarly:
		return
	}
	total := len(req.words)
	finish := "stop"
	if req.truncated {
		finish = "length"
	}
	text := strings.Join(req.words, "")
	choice := fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":%q}`, text, finish)
	object := "chat.completion"
	if !req.isChat {
		choice = fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":%q}`, text, finish)
		object = "text_completion"
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"object":%q,"model":%q,"choices":[%s],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		req.requestID, object, req.engineName, choice, req.promptTokens, total, req.promptTokens+total)
}
