package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/administrator"
	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/biller"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/explainer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
)

// The types of requests and responses of the API; the aliases let other modules use types of internal packages.
type (
	// Status is the state that an instance reports about itself.
	Status = administrator.Status
	// ServerStatus is the state of one backend server as the instance knows it.
	ServerStatus = administrator.ServerStatus
	// Document is the document of an environment with its revision; 0 means that the environment has none.
	Document = administrator.Document
	// Result is the response to a failed call.
	Result = administrator.Result
	// Change is a request to replace the document of one environment.
	Change = changer.Change
	// Accepted is the durable result of an accepted change; resending the change returns it again.
	Accepted = changer.Accepted
	// AuditEntry is one entry of the audit trail.
	AuditEntry = auditor.Entry
	// WaitingInstance is an instance on which a revision is not in force yet, with the reason.
	WaitingInstance = messenger.WaitingInstance
	// Step is one routing decision about a request.
	Step = explainer.Step
	// Bill is the cost of one request for its workspace.
	Bill = biller.Bill
)

const (
	callTimeout      = 10 * time.Second
	maxResponseBytes = 256 << 20
)

// Error is the error of a call that an instance refused; Status is the HTTP status.
type Error struct {
	Status int
	Result Result
}

// Error returns the reason, followed by each problem or conflicting difference on a separate line.
func (e *Error) Error() string {
	text := e.Result.Reason
	for _, p := range e.Result.Problems {
		text += "\n" + p.Error()
	}
	if e.Result.Conflict != nil {
		for _, d := range e.Result.Conflict.Differences {
			text += "\n" + d
		}
	}
	return text
}

// Client calls the operators' API of one instance.
type Client struct {
	address    string
	httpClient *http.Client
}

// NewClient returns a client for the instance with the given control address; each call times out after 10 s.
func NewClient(address string) *Client {
	return &Client{address: address,
		httpClient: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Address returns the control address that the client calls.
func (c *Client) Address() string {
	return c.address
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return fetch[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Document returns the document of an environment that is in force on the instance.
func (c *Client) Document(ctx context.Context, environment string) (Document, error) {
	return fetch[Document](ctx, c, http.MethodGet, "/documents/"+url.PathEscape(environment), nil)
}

// DocumentAt returns the document of an environment at the given revision.
func (c *Client) DocumentAt(ctx context.Context, environment string, revision int64) (Document, error) {
	return fetch[Document](ctx, c, http.MethodGet,
		fmt.Sprintf("/documents/%s/%d", url.PathEscape(environment), revision), nil)
}

// WaitingInstances returns the instances on which a revision is not in force yet.
func (c *Client) WaitingInstances(ctx context.Context, environment string, revision int64) ([]WaitingInstance, error) {
	return fetch[[]WaitingInstance](ctx, c, http.MethodGet,
		fmt.Sprintf("/waiting/%s/%d", url.PathEscape(environment), revision), nil)
}

// Bootstrap creates the replicated record of a new fleet on the instance; an Error with status 409 means that the
// record already exists.
func (c *Client) Bootstrap(ctx context.Context) error {
	var r Result
	return c.call(ctx, http.MethodPost, "/bootstrap", nil, &r)
}

// Apply submits a change; an Error with status 409 means that it conflicts with another change that was accepted first.
func (c *Client) Apply(ctx context.Context, change Change) (Accepted, error) {
	return fetch[Accepted](ctx, c, http.MethodPost, "/changes", change)
}

// AuditTrail returns the audit trail, oldest entry first.
func (c *Client) AuditTrail(ctx context.Context) ([]AuditEntry, error) {
	return fetch[[]AuditEntry](ctx, c, http.MethodGet, "/audit", nil)
}

// Explain returns the routing decisions about a request.
func (c *Client) Explain(ctx context.Context, requestID string) ([]Step, error) {
	return fetch[[]Step](ctx, c, http.MethodGet, "/explain/"+url.PathEscape(requestID), nil)
}

// Bills returns every bill that the instance holds.
func (c *Client) Bills(ctx context.Context) ([]Bill, error) {
	return fetch[[]Bill](ctx, c, http.MethodGet, "/bills", nil)
}

// Drain stops new requests to a backend server until that server restarts; requests in flight finish.
func (c *Client) Drain(ctx context.Context, server string) error {
	var r Result
	return c.call(ctx, http.MethodPost, "/drain/"+url.PathEscape(server), nil, &r)
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var reader io.Reader = http.NoBody
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return trace.Wrap(err)
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, reader)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "instance %s cannot be reached: %v", c.address, err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "instance %s broke off its answer: %v", c.address, err)
	}
	if res.StatusCode != http.StatusOK {
		return decodeError(res.StatusCode, raw)
	}
	return trace.Wrap(json.Unmarshal(raw, result))
}

// fetch calls the instance and returns its decoded response.
func fetch[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	err := c.call(ctx, method, path, body, &result)
	return result, err
}

// decodeError returns the Error of a failed response; if the body holds no reason, its start becomes the reason.
func decodeError(status int, raw []byte) error {
	e := &Error{Status: status}
	if err := json.Unmarshal(raw, &e.Result); err != nil || e.Result.Reason == "" {
		e.Result.Reason = fmt.Sprintf("status %d: %.200s", status, raw)
	}
	return e
}
