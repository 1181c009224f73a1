package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
)

// maxResponseBytes limits the size of a response, so that a faulty platform or worker cannot exhaust memory.
const maxResponseBytes = 64 << 20

// Client calls the HTTP API of the platform. It implements Log, Directory and Controller.
type Client struct {
	// BaseURL is the URL of the platform without a trailing slash.
	BaseURL string
	// HTTPClient is the client for calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

type refusalResponse struct {
	Refused Refusal `json:"refused"`
	Reason  string  `json:"reason"`
}

type appendRequest struct {
	Records []json.RawMessage `json:"records"`
}

type appendResponse struct {
	First record.Offset `json:"first"`
	Count int           `json:"count"`
}

type listResponse struct {
	Instances []Instance `json:"instances"`
}

type controlRequest struct {
	Incarnation instance.Incarnation `json:"incarnation"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream record.Stream, records []json.RawMessage) (record.Offset, error) {
	var result appendResponse
	err := callJSON(ctx, c.HTTPClient, "append to "+string(stream), http.MethodPost, c.BaseURL+"/log/"+url.PathEscape(string(stream)), appendRequest{Records: records}, &result)
	if err != nil {
		return 0, err
	}
	return result.First, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream record.Stream, from record.Offset, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	name := "read of " + string(stream)
	var batch Batch
	err := callJSON(ctx, c.HTTPClient, name, http.MethodGet, c.BaseURL+"/log/"+url.PathEscape(string(stream))+"?"+query.Encode(), nil, &batch)
	if IsRefused(err, RefusedExpired) {
		return Batch{}, &ExpiredError{Call: name}
	}
	return batch, err
}

// List implements Directory.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var result listResponse
	err := callJSON(ctx, c.HTTPClient, "list of instances", http.MethodGet, c.BaseURL+"/instances", nil, &result)
	return result.Instances, err
}

// Drain implements Controller.
func (c *Client) Drain(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return c.postInstanceAction(ctx, id, "drain", incarnation)
}

// Reboot implements Controller.
func (c *Client) Reboot(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return c.postInstanceAction(ctx, id, "reboot", incarnation)
}

func (c *Client) postInstanceAction(ctx context.Context, id instance.ID, action string, incarnation instance.Incarnation) error {
	requestURL := c.BaseURL + "/instances/" + url.PathEscape(string(id)) + "/" + action
	return callJSON(ctx, c.HTTPClient, action+" of "+string(id), http.MethodPost, requestURL, controlRequest{Incarnation: incarnation}, nil)
}

// WorkerClient calls the HTTP API of one worker. It implements Worker.
type WorkerClient struct {
	Address instance.Address
	// HTTPClient is the client for calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

type taskRequest struct {
	Epoch   Epoch `json:"epoch"`
	LeaseMS int64 `json:"lease,omitempty"`
}

type tasksResponse struct {
	Tasks []TaskStatus `json:"tasks"`
}

// Start implements Worker.
func (c *WorkerClient) Start(ctx context.Context, task Task) error {
	return callJSON(ctx, c.HTTPClient, "start of task "+string(task.ID), http.MethodPost, c.url("/tasks"), task, nil)
}

// Renew implements Worker.
func (c *WorkerClient) Renew(ctx context.Context, task TaskID, epoch Epoch, lease time.Duration) error {
	return c.postTaskAction(ctx, task, "renew", taskRequest{Epoch: epoch, LeaseMS: lease.Milliseconds()})
}

// Stop implements Worker.
func (c *WorkerClient) Stop(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.postTaskAction(ctx, task, "stop", taskRequest{Epoch: epoch})
}

// Checkpoint implements Worker.
func (c *WorkerClient) Checkpoint(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.postTaskAction(ctx, task, "checkpoint", taskRequest{Epoch: epoch})
}

// Throttle implements Worker.
func (c *WorkerClient) Throttle(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.postTaskAction(ctx, task, "throttle", taskRequest{Epoch: epoch})
}

// Tasks implements Worker.
func (c *WorkerClient) Tasks(ctx context.Context) ([]TaskStatus, error) {
	var result tasksResponse
	err := callJSON(ctx, c.HTTPClient, "list of tasks", http.MethodGet, c.url("/tasks"), nil, &result)
	return result.Tasks, err
}

func (c *WorkerClient) url(path string) string {
	return "http://" + string(c.Address) + path
}

func (c *WorkerClient) postTaskAction(ctx context.Context, task TaskID, action string, body taskRequest) error {
	return callJSON(ctx, c.HTTPClient, action+" of task "+string(task), http.MethodPost, c.url("/tasks/"+url.PathEscape(string(task))+"/"+action), body, nil)
}

// callJSON sends a JSON request and decodes the JSON response into result unless that is nil. The name of the call
// appears in errors.
func callJSON(ctx context.Context, client *http.Client, name, method, requestURL string, body, result any) error {
	request, err := newRequest(ctx, method, requestURL, body)
	if err != nil {
		return &CallError{Call: name, Cause: err}
	}
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return &CallError{Call: name, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &CallError{Call: name, Cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(name, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &CallError{Call: name, Cause: err}
	}
	return nil
}

func newRequest(ctx context.Context, method, requestURL string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, requestURL, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// responseError returns a RefusedError if an error response contains a refusal. Any other response, for example one
// of a proxy, does not tell whether the call took effect.
func responseError(name string, status int, data []byte) error {
	var body refusalResponse
	if err := json.Unmarshal(data, &body); err != nil || body.Refused == "" {
		return &CallError{Call: name, Cause: &StatusError{Status: status}}
	}
	return &RefusedError{Call: name, Refusal: body.Refused, Reason: body.Reason}
}
