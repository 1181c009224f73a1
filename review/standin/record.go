// Command standin plays the users' platform, executors and clients for the scripts under review/. It starts entries of
// "hibiscuslane run" as separate processes on loopback addresses, causes one disruption, and checks one rule by what the
// platform, the executors and the clients have seen.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal collects what was sent, answered and run, and the violations of the rule under test.
type journal struct {
	began time.Time

	mu         sync.Mutex
	file       *os.File
	violations []string
}

// openJournal creates the record of a run at the given path.
func openJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{began: time.Now(), file: file}, nil
}

// logf writes one line with the time since the start.
func (j *journal) logf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *journal) write(format string, args ...any) {
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...)) // the record is informative only
}

// violatef records that the rule under test was broken.
func (j *journal) violatef(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	j.violations = append(j.violations, text)
	j.write("BROKEN: %s", text)
}

// broken returns the violations so far.
func (j *journal) broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}
