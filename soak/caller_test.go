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

// fate is what a caller knows of a job.
type fate string

const (
	fateAccepted  fate = "accepted"
	fateCancelled fate = "cancelled" // and the cancel was acknowledged
	fateDoubtful  fate = "doubtful"  // no answer told whether it was accepted, or cancelled
	fateRefused   fate = "refused"   // every answer said that it does not run
)

// callers hand in jobs at random entries on connections that stay open, and repeat what had no answer.
type callers struct {
	world   *fabric.Platform
	entries []*entry
	pools   []string

	mu    sync.Mutex
	jobs  map[string]fate
	pool  map[string]string
	count int
}

// call sends one request; status 0 means no answer.
func call(client *http.Client, e *entry, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
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

// run hands in jobs until stop is closed.
func (c *callers) run(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(120)) * time.Millisecond):
		}
		c.job(client, random)
	}
}

// job hands one job in, and cancels some.
func (c *callers) job(client *http.Client, random *rand.Rand) {
	counts := []int{1 + random.IntN(4)}
	if random.IntN(2) == 0 {
		counts = append(counts, 1+random.IntN(3))
	}
	c.mu.Lock()
	c.count++
	id := fabric.JobID(c.count)
	pool := c.pools[random.IntN(len(c.pools))]
	c.pool[id] = pool
	c.mu.Unlock()
	c.world.ExpectJob(id, counts...)
	body := fabric.JobBody(1000+random.IntN(5000), 50+random.IntN(600), counts...)
	known := c.repeat(client, random, http.MethodPost, "/"+pool+"/"+id, body)
	if known == fateAccepted && random.IntN(8) == 0 {
		known = fateDoubtful
		if c.repeat(client, random, http.MethodDelete, "/"+pool+"/"+id, "") == fateAccepted {
			known = fateCancelled
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = known
}

// repeat sends a request up to five times, each to another entry.
func (c *callers) repeat(client *http.Client, random *rand.Rand, method, path, body string) fate {
	known := fateRefused
	for range 5 {
		status, _ := call(client, c.entries[random.IntN(len(c.entries))], method, path, body)
		switch {
		case status == http.StatusOK || method == http.MethodDelete && status == http.StatusGone:
			return fateAccepted
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		default:
			known = fateDoubtful
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
	return known
}

// unsettled returns what callers are still owed: accepted jobs that are not completed, and cancelled ones that
// are not shown so.
func (c *callers) unsettled(client *http.Client) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, known := range c.jobs {
		status, body := call(client, c.entries[len(list)%len(c.entries)], http.MethodGet, "/"+c.pool[id]+"/"+id, "")
		state := fmt.Sprintf("%d %s", status, body)
		switch {
		case known == fateAccepted && state != fabric.JobCompleted,
			known == fateCancelled && state != fabric.JobCancelled && state != fabric.JobCompleted,
			known == fateDoubtful && state == fabric.JobRunning:
			list = append(list, fmt.Sprintf("%s %s: %s", id, known, state))
		}
	}
	return list
}
