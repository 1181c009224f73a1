package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/failure"
)

// maxResponseBytes limits the size of a response, so that a faulty one cannot exhaust the memory.
const maxResponseBytes = 64 << 20

// ClientTimeout is the recommended timeout for the HTTP client of Client. It exceeds the time that a publish
// may take.
const ClientTimeout = publishTimeout + 4*time.Second

// Client calls the administration API of an entry.
type Client struct {
	// BaseURL is the URL of the admin address.
	BaseURL string
	// HTTPClient sends the requests; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Config returns the published files with their versions, and the merged settings.
func (c *Client) Config(ctx context.Context) (ConfigResponse, error) {
	var response ConfigResponse
	err := c.call(ctx, http.MethodGet, PathConfig, nil, func(body io.Reader) error { return json.NewDecoder(body).Decode(&response) })
	return response, err
}

// Status returns the status of the entry.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, func(body io.Reader) error { return json.NewDecoder(body).Decode(&status) })
	return status, err
}

// Publish publishes files, or only checks them if dry is set. If it returns an error with OutcomeUnknown, the
// publish may still have been applied; the audit trail shows whether it was.
func (c *Client) Publish(ctx context.Context, request PublishRequest, dry bool) (PublishResponse, error) {
	path := PathConfig
	if dry {
		path += "?dry=true"
	}
	data, err := json.Marshal(request)
	if err != nil {
		return PublishResponse{}, &RequestError{Reason: "request cannot be encoded", Cause: err}
	}
	var response PublishResponse
	err = c.call(ctx, http.MethodPost, path, data, func(body io.Reader) error { return json.NewDecoder(body).Decode(&response) })
	return response, err
}

// Audit returns the audit trail since the given time, or all of it for the zero time.
func (c *Client) Audit(ctx context.Context, from time.Time) ([]audit.Entry, error) {
	path := PathAudit
	if !from.IsZero() {
		path += "?" + url.Values{"from": {from.Format(time.RFC3339Nano)}}.Encode()
	}
	var entries []audit.Entry
	err := c.call(ctx, http.MethodGet, path, nil, func(body io.Reader) error {
		decoder := json.NewDecoder(body)
		for {
			var entry audit.Entry
			err := decoder.Decode(&entry)
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			entries = append(entries, entry)
		}
	})
	return entries, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, read func(io.Reader) error) error {
	name := method + " " + path
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return &RequestError{Reason: "address of the entry is malformed", Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return NewCallError(name, err)
	}
	defer func() { _ = response.Body.Close() }()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode != http.StatusOK {
		return DecodeFailure(response.StatusCode, limited)
	}
	if err := read(limited); err != nil {
		return &CallError{Call: name, Cause: err, MaybeSent: true}
	}
	return nil
}

// NewCallError wraps an error of an HTTP client. It assumes that the request was not sent if the connection
// could not be established.
func NewCallError(call string, err error) *CallError {
	return &CallError{Call: call, Cause: err, MaybeSent: !dialFailed(err)}
}

// dialFailed reports whether the connection could not be established, so that nothing was sent.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// DecodeFailure decodes an error response. If the body has another format, for example because a proxy sent
// it, the outcome is unknown unless the status is below 500, which means that the request was rejected.
func DecodeFailure(status int, body io.Reader) *RemoteError {
	data, _ := io.ReadAll(body)
	remote := &RemoteError{Status: status}
	if err := json.Unmarshal(data, &remote.Body); err == nil && remote.Body.Code != "" && remote.Body.Outcome != "" {
		return remote
	}
	remote.Body = failure.Body{Code: failure.CodeBroken, Outcome: failure.OutcomeUnknown, Reason: "unexpected answer with HTTP status " + strconv.Itoa(status)}
	if status < http.StatusInternalServerError {
		remote.Body.Code, remote.Body.Outcome = failure.CodeInvalid, failure.OutcomeNotRun
	}
	return remote
}
