package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

// jobOutcome is what a caller knows about a job from the responses it received.
type jobOutcome string

const (
	outcomeAccepted  jobOutcome = "accepted"
	outcomeCancelled jobOutcome = "cancelled" // the cancellation was acknowledged
	outcomeUnknown   jobOutcome = "unknown"   // no response told whether the job was accepted or cancelled
	outcomeRefused   jobOutcome = "refused"   // every response said that the job does not run
)

// callerGroup submits jobs to random entries over keep-alive connections and retries requests that were refused or
// got no response.
type callerGroup struct {
	platform *fabric.Platform
	entries  []*entry
	pools    []string

	mu        sync.Mutex
	outcomes  map[string]jobOutcome // by job id
	jobPools  map[string]string     // pool by job id
	submitted int
}

// sendRequest sends one request and returns its status and body. Status 0 means that no response arrived.
func sendRequest(client *http.Client, e *entry, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.callerAddr+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "callers"
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// submitUntil submits jobs one after the other, at random intervals, until stop is closed.
func (c *callerGroup) submitUntil(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(120)) * time.Millisecond):
		}
		c.submitJob(client, random)
	}
}

// submitJob submits one job of one or two steps. It cancels an accepted job with a probability of one in eight.
func (c *callerGroup) submitJob(client *http.Client, random *rand.Rand) {
	counts := []int{1 + random.IntN(4)}
	if random.IntN(2) == 0 {
		counts = append(counts, 1+random.IntN(3))
	}
	c.mu.Lock()
	c.submitted++
	id := fabric.JobID(c.submitted)
	pool := c.pools[random.IntN(len(c.pools))]
	c.jobPools[id] = pool
	c.mu.Unlock()
	c.platform.ExpectJob(id, counts...)
	body := fabric.JobBody(1000+random.IntN(5000), 50+random.IntN(600), counts...)
	outcome := c.sendWithRetries(client, random, http.MethodPost, "/"+pool+"/"+id, body)
	if outcome == outcomeAccepted && random.IntN(8) == 0 {
		outcome = outcomeUnknown
		if c.sendWithRetries(client, random, http.MethodDelete, "/"+pool+"/"+id, "") == outcomeAccepted {
			outcome = outcomeCancelled
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[id] = outcome
}

// sendWithRetries sends a request up to five times, each time to a randomly chosen entry. For a cancellation,
// outcomeAccepted means that it was confirmed or that the job no longer exists.
func (c *callerGroup) sendWithRetries(client *http.Client, random *rand.Rand, method, path, body string) jobOutcome {
	outcome := outcomeRefused
	for range 5 {
		status, _ := sendRequest(client, c.entries[random.IntN(len(c.entries))], method, path, body)
		switch {
		case status == http.StatusOK || method == http.MethodDelete && status == http.StatusGone:
			return outcomeAccepted
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		default:
			outcome = outcomeUnknown
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
	return outcome
}

// unsettledJobs returns the accepted jobs that are not completed, the cancelled ones that are neither cancelled nor
// completed, and those of unknown outcome that still run, each with its state.
func (c *callerGroup) unsettledJobs(client *http.Client) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unsettled []string
	for id, outcome := range c.outcomes {
		status, body := sendRequest(client, c.entries[len(unsettled)%len(c.entries)], http.MethodGet, "/"+c.jobPools[id]+"/"+id, "")
		state := fmt.Sprintf("%d %s", status, body)
		switch {
		case outcome == outcomeAccepted && state != fabric.JobCompleted,
			outcome == outcomeCancelled && state != fabric.JobCancelled && state != fabric.JobCompleted,
			outcome == outcomeUnknown && state == fabric.JobRunning:
			unsettled = append(unsettled, fmt.Sprintf("%s %s: %s", id, outcome, state))
		}
	}
	return unsettled
}
