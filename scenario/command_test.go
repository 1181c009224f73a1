package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hibiscuslane.example/hibiscuslane/failure"
)

// commands are the script commands that testscript lacks; testdata/README.md describes them. Their names avoid kill,
// stop and wait, which testscript defines with other meanings.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":      newCommand(1, func(env *testEnv, args []string) (string, error) { return "", env.startFleet(args[0]) }),
	"cluster":    newCommand(1, (*testEnv).startCluster),
	"race":       newCommand(2, (*testEnv).racePublishes),
	"lapsed":     newCommand(1, (*testEnv).checkExpiredRuns),
	"attempts":   newCommand(1, (*testEnv).checkMaxAttempts),
	"entry":      newCommand(1, forEachEntry((*testEnv).startEntry)),
	"sigkill":    newCommand(1, forEachEntry((*testEnv).killEntry)),
	"freeze":     newCommand(1, forEachEntry((*testEnv).freezeEntry)),
	"thaw":       newCommand(1, forEachEntry((*testEnv).resumeEntry)),
	"shutdown":   newCommand(1, forEachEntry((*testEnv).shutDownEntry)),
	"call":       newCommand(3, (*testEnv).sendOneRequest),
	"fault":      newCommand(1, (*testEnv).setFaults),
	"burst":      newCommand(2, (*testEnv).runBurstCommand),
	"settle":     newCommand(0, (*testEnv).awaitBurst),
	"repeat":     newCommand(1, (*testEnv).resendBurst),
	"jobs":       newCommand(3, (*testEnv).submitJobs),
	"cancel":     newCommand(1, (*testEnv).cancelJobs),
	"await":      newCommand(1, (*testEnv).awaitCondition),
	"executed":   newCommand(2, (*testEnv).checkExecuted),
	"outcomes":   newCommand(1, (*testEnv).checkOutcomes),
	"consistent": newCommand(0, (*testEnv).checkConsistent),
	"converged":  newCommand(0, (*testEnv).awaitConverged),
	"rollout":    newCommand(0, (*testEnv).checkRollout),
	"golden":     newCommand(1, (*testEnv).checkGolden),
	"cli":        runCLICommand,
	"pause":      newCommand(1, sleepMillis),
}

// newCommand adapts a function to a testscript command that takes at least minArgs arguments and cannot be negated.
func newCommand(minArgs int, run func(env *testEnv, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs {
			ts.Fatalf("wrong usage: see testdata/README.md")
		}
		env := ts.Value(testEnvKey{}).(*testEnv)
		output, err := run(env, args)
		_, _ = fmt.Fprint(ts.Stdout(), output)
		if err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// forEachEntry returns a command function that calls run for each named entry.
func forEachEntry(run func(env *testEnv, name string) error) func(*testEnv, []string) (string, error) {
	return func(env *testEnv, args []string) (string, error) {
		for _, name := range args {
			if err := run(env, name); err != nil {
				return "", fmt.Errorf("%s: %w", name, err)
			}
		}
		return "", nil
	}
}

// runCLICommand runs a subcommand of hibiscuslane against an entry, or without --entry if the name is "-". If the
// output is a job, its id is stored in $JOB.
func runCLICommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: cli NAME|- SUBCOMMAND [ARGS]")
	}
	env := ts.Value(testEnvKey{}).(*testEnv)
	e := env.findEntry(args[0])
	if e == nil && args[0] != "-" {
		ts.Fatalf("%s was not started", args[0])
	}
	stdout, stderr, err := env.runCLI(e, args[1:])
	_, _ = fmt.Fprint(ts.Stdout(), stdout)
	_, _ = fmt.Fprint(ts.Stderr(), stderr)
	var job jobResponse
	if json.Unmarshal([]byte(stdout), &job) == nil && job.ID != "" {
		ts.Setenv("JOB", job.ID)
	}
	status := 0
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	env.transcript.add("cli "+strings.Join(args, " "), fmt.Sprintf("%s%sexit %d\n", stdout, stderr, status))
	if (status != 0) != neg {
		ts.Fatalf("exit status %d", status)
	}
}

// startCluster starts the fleet and the first entry, publishes the example configuration, and starts the other
// entries once every pool has its instances.
func (env *testEnv) startCluster(args []string) (string, error) {
	if err := env.startFleet(args[0]); err != nil {
		return "", err
	}
	names := args[1:]
	if err := env.startEntry(names[0]); err != nil {
		return "", err
	}
	if _, err := env.awaitCondition([]string{"listening", names[0]}); err != nil {
		return "", err
	}
	if _, stderr, err := env.runCLI(env.entries[0], []string{"publish", "--dir", env.configDir, "--author", "ada", "--reason", "first"}); err != nil {
		return "", fmt.Errorf("publish: %s: %w", stderr, err)
	}
	if _, err := env.awaitCondition([]string{"serving", names[0]}); err != nil {
		return "", err
	}
	if _, err := forEachEntry((*testEnv).startEntry)(env, names[1:]); err != nil {
		return "", err
	}
	if _, err := env.awaitCondition(append([]string{"serving"}, names...)); err != nil {
		return "", err
	}
	return env.awaitCondition(append([]string{"peers", strconv.Itoa(len(names) - 1)}, names...))
}

// runningEntry returns the named entry, or an error if it is not running.
func (env *testEnv) runningEntry(name string) (*entry, error) {
	e := env.findEntry(name)
	if e == nil || e.exited {
		return nil, fmt.Errorf("entry %s is not running", name)
	}
	return e, nil
}

func (env *testEnv) runningEntries(names []string) ([]*entry, error) {
	var entries []*entry
	for _, name := range names {
		e, err := env.runningEntry(name)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (env *testEnv) killEntry(name string) error {
	e, err := env.runningEntry(name)
	if err != nil {
		return err
	}
	e.exited = true
	e.kill()
	return nil
}

func (env *testEnv) freezeEntry(name string) error {
	e, err := env.runningEntry(name)
	if err != nil {
		return err
	}
	e.frozen = true
	return e.signal(syscall.SIGSTOP)
}

func (env *testEnv) resumeEntry(name string) error {
	e, err := env.runningEntry(name)
	if err != nil {
		return err
	}
	e.frozen = false
	return e.signal(syscall.SIGCONT)
}

// shutDownEntry stops an entry with SIGTERM and checks its exit status.
func (env *testEnv) shutDownEntry(name string) error {
	e, err := env.runningEntry(name)
	if err != nil {
		return err
	}
	if err := e.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-e.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("did not exit within %v", waitTimeout)
	}
	e.exited = true
	env.transcript.add("shutdown "+name, fmt.Sprintf("exit %d\n", e.command.ProcessState.ExitCode()))
	return e.err
}

// sendOneRequest sends one request. The arguments are NAME METHOD PATH [HEADER=VALUE ...] [body=TEXT].
func (env *testEnv) sendOneRequest(args []string) (string, error) {
	e, err := env.runningEntry(args[0])
	if err != nil {
		return "", err
	}
	header, body := http.Header{}, ""
	for _, arg := range args[3:] {
		name, value, ok := strings.Cut(arg, "=")
		switch {
		case !ok:
			return "", fmt.Errorf("%q is not HEADER=VALUE", arg)
		case name == "body":
			body = value
		default:
			header.Set(name, value)
		}
	}
	r, err := sendRequest(context.Background(), args[1], e.callerURL()+args[2], header, body)
	if err != nil {
		return "", err
	}
	if key := header.Get(headerKey); key != "" {
		env.replies.add(key, r)
	}
	output := strings.TrimSuffix(r.String(), "\n") + "\n"
	env.transcript.add("call "+strings.Join(args, " "), output)
	return output, nil
}

// setFaults sets the faults that the platform emulator injects.
func (env *testEnv) setFaults(args []string) (string, error) {
	r, err := sendRequest(context.Background(), http.MethodPost, env.platformURL+"/fault", http.Header{}, args[0])
	if err == nil && r.status != http.StatusOK {
		err = fmt.Errorf("set faults: %v", r)
	}
	return "", err
}

// runBurstCommand starts a burst. The arguments are NAME... COUNT [every=MS] [path=PATH].
func (env *testEnv) runBurstCommand(args []string) (string, error) {
	var pause time.Duration
	path := "/pay?time=20"
	var names []string
	var count int64
	for _, arg := range args {
		name, value, isOption := strings.Cut(arg, "=")
		number, err := strconv.ParseInt(arg, 10, 64)
		switch {
		case isOption && name == "path":
			path = value
		case isOption && name == "every":
			ms, err := strconv.Atoi(value)
			if err != nil {
				return "", err
			}
			pause = time.Duration(ms) * time.Millisecond
		case err == nil:
			count = number
		default:
			names = append(names, arg)
		}
	}
	entries, err := env.runningEntries(names)
	if err == nil {
		env.startBurst(entries, count, pause, path)
	}
	return "", err
}

// awaitBurst waits for the end of the burst and prints the number of keys per outcome.
func (env *testEnv) awaitBurst([]string) (string, error) {
	done := make(chan struct{})
	go func() {
		env.burst.callers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * waitTimeout):
		return "", fmt.Errorf("the burst did not end within %v", 2*waitTimeout)
	}
	return env.summarizeOutcomes(), nil
}

func (env *testEnv) summarizeOutcomes() string {
	counts := env.replies.countLastOutcomes()
	text := fmt.Sprintf("%d keys: %d answered, %d notrun, %d unknown\n", env.replies.keyCount(),
		counts[failure.OutcomeAnswered], counts[failure.OutcomeNotRun], counts[failure.OutcomeUnknown])
	env.t.Log(strings.TrimSpace(text))
	return text
}

// resendBurst sends the request of every key of the burst once more through the entries.
func (env *testEnv) resendBurst(args []string) (string, error) {
	entries, err := env.runningEntries(args)
	if err != nil {
		return "", err
	}
	env.burst.resendAll(entries)
	return env.summarizeOutcomes(), nil
}

// checkOutcomes checks the number of keys per last outcome. The arguments are OUTCOME<=N or OUTCOME>=N.
func (env *testEnv) checkOutcomes(args []string) (string, error) {
	counts := env.replies.countLastOutcomes()
	for _, arg := range args {
		name, bound, isMinimum := strings.Cut(arg, ">=")
		if !isMinimum {
			name, bound, _ = strings.Cut(arg, "<=")
		}
		n, err := strconv.Atoi(bound)
		if err != nil {
			return "", fmt.Errorf("%q is not OUTCOME<=N or OUTCOME>=N", arg)
		}
		if got := counts[failure.Outcome(name)]; isMinimum && got < n || !isMinimum && got > n {
			return "", fmt.Errorf("%d keys have the outcome %s, want %s", got, name, arg)
		}
	}
	return "", nil
}

// sleepMillis implements the command pause, which lets a fault last for the given time in milliseconds.
func sleepMillis(_ *testEnv, args []string) (string, error) {
	ms, err := strconv.Atoi(args[0])
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return "", err
}
