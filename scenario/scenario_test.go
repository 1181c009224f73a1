// Package scenario runs test scripts against the real programs, hibiscuslane serve and standin, which
// run as separate processes. The scripts are in testdata; testdata/README.md describes their commands.
// Package soak tests hibiscuslane run.
package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxParallel limits the scripts that run at the same time. Each uses up to four processes and some hundred
	// connections.
	maxParallel = 4
	// waitTimeout limits the wait for a condition. How long the wait takes does not affect the result.
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
	// buildTimeout limits the build of both programs.
	buildTimeout = 3 * time.Minute
)

// programDir is the directory that contains the built programs hibiscuslane and standin.
var programDir string

// runSlots is a semaphore. It contains one token for each running script.
var runSlots = make(chan struct{}, maxParallel)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create the directory for the programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", dir, ".", "./standin")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, output)
		return 1
	}
	programDir = dir
	return m.Run()
}

// runScript runs one script of testdata.
func runScript(t *testing.T, name string) {
	t.Helper()
	t.Parallel()
	fleet, err := filepath.Abs(filepath.Join("testdata", "fleet.json"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := filepath.Abs(filepath.Join("..", "examples", "small", "config"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files: []string{filepath.Join("testdata", name+".txtar")},
		Cmds:  commands,
		// A script runs as a parallel subtest and acquires its token there. If this test acquired it, the wait
		// would occupy a slot of the test runner that subtests of other scripts need.
		Setup: func(env *testscript.Env) error {
			runSlots <- struct{}{}
			env.Defer(func() { <-runSlots })
			env.Setenv("FLEET", fleet)
			env.Setenv("CONFIG", config)
			script := newTestEnv(t, env.WorkDir, config)
			env.Values[testEnvKey{}] = script
			env.Defer(script.close)
			return nil
		},
	})
}

// TestSession guards against unnoticed changes in the output of the common commands, against operators who
// overwrite each other's changes, and against a shutdown that aborts requests.
func TestSession(t *testing.T) { runScript(t, "session") }

// TestKill guards against keys that are executed twice and answers that are lost when an entry is killed under load.
func TestKill(t *testing.T) { runScript(t, "kill") }

// TestFreeze guards against an entry that acts on expired leases after its process was paused, and against other
// entries that do not take over from it.
func TestFreeze(t *testing.T) { runScript(t, "freeze") }

// TestFreezeTwo guards against a single remaining entry that cannot take over from all paused ones.
func TestFreezeTwo(t *testing.T) { runScript(t, "freeze-two") }

// TestLogOutage guards against faults during an outage of the log: requests with a key that run without a record,
// requests without a key that fail, and an entry that cannot start with the state of its peers.
func TestLogOutage(t *testing.T) { runScript(t, "log-outage") }

// TestAdmission guards against an uneven distribution of new instances among the pools when entries start at the same
// time.
func TestAdmission(t *testing.T) { runScript(t, "admission") }

// TestLostAnswers guards against records that are applied twice when responses of the log are lost.
func TestLostAnswers(t *testing.T) { runScript(t, "lost-answers") }

// TestSilent guards against requests that hang on dead connections, and against keys that are executed twice because
// of them.
func TestSilent(t *testing.T) { runScript(t, "silent") }

// TestRack guards against requests that are lost or executed twice when several targets fail at the same time.
func TestRack(t *testing.T) { runScript(t, "rack") }

// TestClose guards against requests that are executed twice when a target executes them and closes the connection
// without a response.
func TestClose(t *testing.T) { runScript(t, "close") }

// TestRace guards against two operators who both succeed in publishing a change based on the same version.
func TestRace(t *testing.T) { runScript(t, "race") }

// TestCancel guards against cancelled jobs that continue to run or keep their worker occupied.
func TestCancel(t *testing.T) { runScript(t, "cancel") }

// TestWorker guards against a broken worker that uses up the attempts of good jobs.
func TestWorker(t *testing.T) { runScript(t, "worker") }
