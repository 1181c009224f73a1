// Package scenario runs scripted sessions against the real programs as separate processes. The scripts
// are in testdata; README.md there describes their language.
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
	// maxParallel bounds the scripts that run at once. Each has up to four processes and some hundred
	// connections.
	maxParallel = 4
	// patience bounds waits for an effect. No verdict depends on how much of it is used.
	patience = 40 * time.Second
	poll     = 20 * time.Millisecond
	// buildLimit bounds the build of both programs.
	buildLimit = 3 * time.Minute
)

// programs is the directory of the two programs.
var programs string

// turns holds one token per script that runs.
var turns = make(chan struct{}, maxParallel)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, "no directory for the programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	build := exec.CommandContext(ctx, "go", "build", "-o", dir, ".", "./standin")
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, output)
		return 1
	}
	programs = dir
	return m.Run()
}

// play runs one script of testdata.
func play(t *testing.T, name string) {
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
		// A script runs as a parallel subtest. It takes its token there and not in this test, which would
		// hold a slot of the test runner that the subtests of others need.
		Setup: func(env *testscript.Env) error {
			turns <- struct{}{}
			env.Defer(func() { <-turns })
			env.Setenv("FLEET", fleet)
			env.Setenv("CONFIG", config)
			w := newWorld(t, env.WorkDir, config)
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			return nil
		},
	})
}

// TestSession guards against a main path whose output changes unnoticed, against operators who
// overwrite each other, and against a stop that cuts requests off.
func TestSession(t *testing.T) { play(t, "session") }

// TestKill guards against keys that run twice, or answers that get lost, when an entry dies under load.
func TestKill(t *testing.T) { play(t, "kill") }

// TestFreeze guards against an entry that acts on expired leases after a pause, and against others that
// do not take over from it.
func TestFreeze(t *testing.T) { play(t, "freeze") }

// TestFreezeTwo guards against a single entry that cannot take over from all others.
func TestFreezeTwo(t *testing.T) { play(t, "freeze-two") }

// TestLogOutage guards against keyed requests that run without a record, an outage that stops other
// requests, and an entry that cannot start from its peers.
func TestLogOutage(t *testing.T) { play(t, "log-outage") }

// TestAdmission guards against entries that start together and divide new instances unevenly among the
// pools.
func TestAdmission(t *testing.T) { play(t, "admission") }

// TestLostAnswers guards against records that take effect twice when answers of the log are lost.
func TestLostAnswers(t *testing.T) { play(t, "lost-answers") }

// TestSilent guards against requests that wait on dead connections, and against keys that run twice
// because of them.
func TestSilent(t *testing.T) { play(t, "silent") }

// TestRack guards against requests that are lost or run twice when several targets fail at once.
func TestRack(t *testing.T) { play(t, "rack") }

// TestClose guards against requests that run twice when a target executes them and gives no answer.
func TestClose(t *testing.T) { play(t, "close") }

// TestRace guards against two operators who both win with the same version.
func TestRace(t *testing.T) { play(t, "race") }

// TestCancel guards against cancelled jobs that go on running or keep their worker.
func TestCancel(t *testing.T) { play(t, "cancel") }

// TestWorker guards against a broken worker that uses up the attempts of good jobs.
func TestWorker(t *testing.T) { play(t, "worker") }
