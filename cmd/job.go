package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	defaultCallersURL = "http://127.0.0.1:8080"
	jobsPath          = "/-/jobs"
	// jobTimeout limits one call of the job API.
	jobTimeout = 12 * time.Second
	// maxSubmitAttempts limits the attempts of a submit whose result is unknown. All attempts use the same
	// idempotency key.
	maxSubmitAttempts = 3
	// maxResponseBytes limits the size of a response, so that a faulty one cannot exhaust the memory.
	maxResponseBytes     = 16 << 20
	idempotencyKeyHeader = "Idempotency-Key"
)

// jobRequest is the body of POST /-/jobs.
type jobRequest struct {
	Pool         pool.Name `json:"pool"`
	Team         team.Name `json:"team"`
	Command      string    `json:"command"`
	Input        string    `json:"input,omitempty"`
	Cores        int       `json:"cores"`
	Memory       int       `json:"memory"` // MB
	Accelerators int       `json:"accelerators,omitempty"`
	// ExpectedRunTime is in milliseconds.
	ExpectedRunTime int64 `json:"time"`
	MaxAttempts     int   `json:"limit"`
	Urgent          bool  `json:"urgent,omitempty"`
}

// jobClient calls the job API of an entry, which is served at the callers' address.
type jobClient struct {
	base string
	http *http.Client
}

func newJob() *cobra.Command {
	c := &cobra.Command{Use: "job", Short: "Submit, show and cancel jobs"}
	client := &jobClient{http: &http.Client{Timeout: jobTimeout}}
	c.PersistentFlags().StringVar(&client.base, "entry", defaultCallersURL, "URL of the callers' address of an entry")
	c.AddCommand(newSubmit(client), newByID(client, "show", "Show a job with its attempts and result", http.MethodGet), newByID(client, "cancel", "Cancel a job", http.MethodDelete))
	return c
}

func newSubmit(client *jobClient) *cobra.Command {
	var (
		job                jobRequest
		key                string
		poolName, teamName string
	)
	c := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			job.Pool, job.Team = pool.Name(poolName), team.Name(teamName)
			response, err := client.submit(c.Context(), job, key)
			if err != nil {
				return err
			}
			return printJSON(c.OutOrStdout(), response)
		},
	}
	flags := c.Flags()
	flags.StringVar(&poolName, "pool", "", "pool whose workers run the job")
	flags.StringVar(&teamName, "team", "default", "team that owns the job")
	flags.StringVar(&job.Command, "command", "", "command")
	flags.StringVar(&job.Input, "input", "", "input of the command")
	flags.IntVar(&job.Cores, "cores", 1, "cores")
	flags.IntVar(&job.Memory, "memory", 256, "memory in MB")
	flags.IntVar(&job.Accelerators, "accelerators", 0, "accelerators")
	flags.Int64Var(&job.ExpectedRunTime, "time", 60_000, "expected run time in milliseconds")
	flags.IntVar(&job.MaxAttempts, "limit", 1, "most attempts")
	flags.BoolVar(&job.Urgent, "urgent", false, "start within two seconds")
	flags.StringVar(&key, "key", uuid.NewString(), "idempotency key: a submit with the same key is the same job")
	flags.Lookup("key").DefValue = "random"
	_ = c.MarkFlagRequired("pool")
	_ = c.MarkFlagRequired("command")
	return c
}

// newByID returns a command that sends a request for the job with the given ID and prints the response.
func newByID(client *jobClient, use, short, method string) *cobra.Command {
	return &cobra.Command{
		Use:   use + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			response, err := client.call(c.Context(), method, jobsPath+"/"+url.PathEscape(args[0]), nil, "")
			if err != nil || len(response) == 0 {
				return err
			}
			return printJSON(c.OutOrStdout(), response)
		},
	}
}

// submit submits a job and retries while the result is unknown. The idempotency key prevents duplicate jobs.
func (j *jobClient) submit(ctx context.Context, job jobRequest, key string) (json.RawMessage, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, &UsageError{Reason: "job cannot be encoded: " + err.Error()}
	}
	var response json.RawMessage
	for range maxSubmitAttempts {
		response, err = j.call(ctx, http.MethodPost, jobsPath, body, key)
		if err == nil || failure.Of(err).Outcome() != failure.OutcomeUnknown {
			break
		}
	}
	return response, err
}

func (j *jobClient) call(ctx context.Context, method, path string, body []byte, key string) (json.RawMessage, error) {
	name := method + " " + path
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(j.base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, &UsageError{Reason: "--entry is malformed: " + err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(idempotencyKeyHeader, key)
	}
	response, err := j.http.Do(request)
	if err != nil {
		return nil, admin.NewCallError(name, err)
	}
	defer func() { _ = response.Body.Close() }()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, admin.DecodeFailure(response.StatusCode, limited)
	}
	responseBody, err := io.ReadAll(limited)
	if err == nil && len(responseBody) > 0 && !json.Valid(responseBody) {
		err = &ResponseError{Status: response.StatusCode}
	}
	if err != nil {
		return nil, &admin.CallError{Call: name, Cause: err, MaybeSent: true}
	}
	return responseBody, nil
}
