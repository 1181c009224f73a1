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

// maxAnswerBytes bounds an answer of the platform, so that a faulty answer cannot exhaust memory.
const maxAnswerBytes = 64 << 20

// Client speaks HTTP to the platform's log, list and control. It implements Log, Directory and
// Controller.
type Client struct {
	// BaseURL is the URL of the platform, without a trailing slash.
	BaseURL string
	// HTTPClient is the client for calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

type refusalBody struct {
	Refused Refusal `json:"refused"`
	Reason  string  `json:"reason"`
}

type appendBody struct {
	Records []json.RawMessage `json:"records"`
}

type appendAnswer struct {
	First record.Offset `json:"first"`
	Count int           `json:"count"`
}

type listAnswer struct {
	Instances []Instance `json:"instances"`
}

type incarnationBody struct {
	Incarnation instance.Incarnation `json:"incarnation"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream record.Stream, records []json.RawMessage) (record.Offset, error) {
	var answer appendAnswer
	err := call(ctx, c.HTTPClient, "append to "+string(stream), http.MethodPost, c.BaseURL+"/log/"+url.PathEscape(string(stream)), appendBody{Records: records}, &answer)
	if err != nil {
		return 0, err
	}
	return answer.First, nil
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
	err := call(ctx, c.HTTPClient, name, http.MethodGet, c.BaseURL+"/log/"+url.PathEscape(string(stream))+"?"+query.Encode(), nil, &batch)
	if IsRefused(err, RefusedExpired) {
		return Batch{}, &ExpiredError{Call: name}
	}
	return batch, err
}

// List implements Directory.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	var answer listAnswer
	err := call(ctx, c.HTTPClient, "list of instances", http.MethodGet, c.BaseURL+"/instances", nil, &answer)
	return answer.Instances, err
}

// Drain implements Controller.
func (c *Client) Drain(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return c.control(ctx, id, "drain", incarnation)
}

// Reboot implements Controller.
func (c *Client) Reboot(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return c.control(ctx, id, "reboot", incarnation)
}

func (c *Client) control(ctx context.Context, id instance.ID, verb string, incarnation instance.Incarnation) error {
	address := c.BaseURL + "/instances/" + url.PathEscape(string(id)) + "/" + verb
	return call(ctx, c.HTTPClient, verb+" of "+string(id), http.MethodPost, address, incarnationBody{Incarnation: incarnation}, nil)
}

// WorkerClient speaks HTTP to one worker. It implements Worker.
type WorkerClient struct {
	Address instance.Address
	// HTTPClient is the client for calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

type epochBody struct {
	Epoch Epoch `json:"epoch"`
	Lease int64 `json:"lease,omitempty"` // milliseconds
}

type tasksAnswer struct {
	Tasks []TaskStatus `json:"tasks"`
}

// Start implements Worker.
func (c *WorkerClient) Start(ctx context.Context, task Task) error {
	return call(ctx, c.HTTPClient, "start of task "+string(task.ID), http.MethodPost, c.url("/tasks"), task, nil)
}

// Renew implements Worker.
func (c *WorkerClient) Renew(ctx context.Context, task TaskID, epoch Epoch, lease time.Duration) error {
	return c.verb(ctx, task, "renew", epochBody{Epoch: epoch, Lease: lease.Milliseconds()})
}

// Stop implements Worker.
func (c *WorkerClient) Stop(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.verb(ctx, task, "stop", epochBody{Epoch: epoch})
}

// Checkpoint implements Worker.
func (c *WorkerClient) Checkpoint(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.verb(ctx, task, "checkpoint", epochBody{Epoch: epoch})
}

// Throttle implements Worker.
func (c *WorkerClient) Throttle(ctx context.Context, task TaskID, epoch Epoch) error {
	return c.verb(ctx, task, "throttle", epochBody{Epoch: epoch})
}

// Tasks implements Worker.
func (c *WorkerClient) Tasks(ctx context.Context) ([]TaskStatus, error) {
	var answer tasksAnswer
	err := call(ctx, c.HTTPClient, "list of tasks", http.MethodGet, c.url("/tasks"), nil, &answer)
	return answer.Tasks, err
}

func (c *WorkerClient) url(path string) string {
	return "http://" + string(c.Address) + path
}

func (c *WorkerClient) verb(ctx context.Context, task TaskID, verb string, body epochBody) error {
	return call(ctx, c.HTTPClient, verb+" of task "+string(task), http.MethodPost, c.url("/tasks/"+url.PathEscape(string(task))+"/"+verb), body, nil)
}

// call sends a JSON request and decodes a JSON answer into answer unless that is nil.
func call(ctx context.Context, client *http.Client, name, method, address string, body, answer any) error {
	request, err := newRequest(ctx, method, address, body)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &CallError{Call: name, Cause: err}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusal(name, response.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &CallError{Call: name, Cause: err}
	}
	return nil
}

func newRequest(ctx context.Context, method, address string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, address, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// refusal turns an error answer into a RefusedError if it carries a refusal word. Any other answer,
// for example one from a middle box, proves nothing about the effect of the call.
func refusal(name string, status int, data []byte) error {
	var body refusalBody
	if err := json.Unmarshal(data, &body); err != nil || body.Refused == "" {
		return &CallError{Call: name, Cause: &StatusError{Status: status}}
	}
	return &RefusedError{Call: name, Refusal: body.Refused, Reason: body.Reason}
}
