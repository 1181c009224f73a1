package task_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"hibiscuslane.example/hibiscuslane/task"
)

// TestOddSubmissionEndsOwners guards against a stored job that takes every owner down, one after the other, because its steps
// have counts or dependencies that no accepted job has.
func TestOddSubmissionEndsOwners(t *testing.T) {
	for _, odd := range []string{
		`{"steps":[{"count":-1}]}`, `{"steps":[{"count":9223372036854775807}]}`, `{"steps":[{"count":60000},{"count":60000}]}`,
		`{"steps":[{"count":1,"after":[0]}]}`, `{"steps":[{"count":1,"after":[7]}]}`, `{"steps":[{"count":1,"after":[-1]}]}`,
		`{"steps":[{"count":1}],"repeat":1000000000}`, `{"steps":[{"count":1}],"repeat":-1}`, `{"steps":[]}`,
	} {
		_, err := task.ParseSubmission("00000000000000aa", []byte(`{"spec":`+odd+`}`))
		assert.Error(t, err, odd)
	}
}
