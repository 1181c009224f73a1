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

// commands are the own commands of the language; testdata/README.md describes them. The
// language has commands kill, stop and wait already, which mean something else.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":      command(1, func(w *world, args []string) (string, error) { return "", w.startFleet(args[0]) }),
	"cluster":    command(1, (*world).cluster),
	"race":       command(2, (*world).race),
	"lapsed":     command(1, (*world).lapsed),
	"attempts":   command(1, (*world).attempts),
	"entry":      command(1, each((*world).startEntry)),
	"sigkill":    command(1, each((*world).sigkill)),
	"freeze":     command(1, each((*world).freeze)),
	"thaw":       command(1, each((*world).thaw)),
	"shutdown":   command(1, each((*world).shutdown)),
	"call":       command(3, (*world).callOnce),
	"fault":      command(1, (*world).fault),
	"burst":      command(2, (*world).burstCommand),
	"settle":     command(0, (*world).settle),
	"repeat":     command(1, (*world).repeat),
	"jobs":       command(3, (*world).submitJobs),
	"cancel":     command(1, (*world).cancelJobs),
	"await":      command(1, (*world).await),
	"executed":   command(2, (*world).executed),
	"outcomes":   command(1, (*world).outcomes),
	"consistent": command(0, (*world).consistent),
	"converged":  command(0, (*world).converged),
	"rollout":    command(0, (*world).rollout),
	"golden":     command(1, (*world).golden),
	"cli":        cli,
	"pause":      command(1, pause),
}

// command adapts a command that cannot be negated.
func command(least int, run func(w *world, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < least {
			ts.Fatalf("wrong use: see testdata/README.md")
		}
		w := ts.Value(worldKey{}).(*world)
		output, err := run(w, args)
		_, _ = fmt.Fprint(ts.Stdout(), output)
		if err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// each adapts a command that takes names of entries.
func each(run func(w *world, name string) error) func(*world, []string) (string, error) {
	return func(w *world, args []string) (string, error) {
		for _, name := range args {
			if err := run(w, name); err != nil {
				return "", fmt.Errorf("%s: %w", name, err)
			}
		}
		return "", nil
	}
}

// cli runs a subcommand of hibiscuslane; "-" in place of the entry leaves out --entry. The id of a job
// that it prints becomes $JOB.
func cli(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: cli NAME|- SUBCOMMAND [ARGS]")
	}
	w := ts.Value(worldKey{}).(*world)
	n := w.find(args[0])
	if n == nil && args[0] != "-" {
		ts.Fatalf("%s was not started", args[0])
	}
	stdout, stderr, err := w.cli(n, args[1:])
	_, _ = fmt.Fprint(ts.Stdout(), stdout)
	_, _ = fmt.Fprint(ts.Stderr(), stderr)
	var job jobView
	if json.Unmarshal([]byte(stdout), &job) == nil && job.ID != "" {
		ts.Setenv("JOB", job.ID)
	}
	status := 0
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	w.transcript.add("cli "+strings.Join(args, " "), fmt.Sprintf("%s%sexit %d\n", stdout, stderr, status))
	if (status != 0) != neg {
		ts.Fatalf("exit status %d", status)
	}
}

// cluster starts the fleet and a first entry, publishes the example configuration, and adds the other
// entries once every instance has its pool.
func (w *world) cluster(args []string) (string, error) {
	if err := w.startFleet(args[0]); err != nil {
		return "", err
	}
	names := args[1:]
	if err := w.startEntry(names[0]); err != nil {
		return "", err
	}
	if _, err := w.await([]string{"listening", names[0]}); err != nil {
		return "", err
	}
	if _, fault, err := w.cli(w.entries[0], []string{"publish", "--dir", w.config, "--author", "ada", "--reason", "first"}); err != nil {
		return "", fmt.Errorf("publish: %s: %w", fault, err)
	}
	if _, err := w.await([]string{"serving", names[0]}); err != nil {
		return "", err
	}
	if _, err := each((*world).startEntry)(w, names[1:]); err != nil {
		return "", err
	}
	if _, err := w.await(append([]string{"serving"}, names...)); err != nil {
		return "", err
	}
	return w.await(append([]string{"peers", strconv.Itoa(len(names) - 1)}, names...))
}

// running returns an entry that is not dead.
func (w *world) running(name string) (*node, error) {
	n := w.find(name)
	if n == nil || n.dead {
		return nil, fmt.Errorf("%s does not run", name)
	}
	return n, nil
}

func (w *world) nodes(names []string) ([]*node, error) {
	var nodes []*node
	for _, name := range names {
		n, err := w.running(name)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func (w *world) sigkill(name string) error {
	n, err := w.running(name)
	if err != nil {
		return err
	}
	n.dead = true
	n.end()
	return nil
}

func (w *world) freeze(name string) error {
	n, err := w.running(name)
	if err != nil {
		return err
	}
	n.frozen = true
	return n.signal(syscall.SIGSTOP)
}

func (w *world) thaw(name string) error {
	n, err := w.running(name)
	if err != nil {
		return err
	}
	n.frozen = false
	return n.signal(syscall.SIGCONT)
}

// shutdown ends an entry gracefully and checks its exit status.
func (w *world) shutdown(name string) error {
	n, err := w.running(name)
	if err != nil {
		return err
	}
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.done:
	case <-time.After(patience):
		return fmt.Errorf("did not exit within %v", patience)
	}
	n.dead = true
	w.transcript.add("shutdown "+name, fmt.Sprintf("exit %d\n", n.command.ProcessState.ExitCode()))
	return n.err
}

// callOnce sends one request: NAME METHOD PATH [HEADER=VALUE ...] [body=TEXT].
func (w *world) callOnce(args []string) (string, error) {
	n, err := w.running(args[0])
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
	r, err := call(context.Background(), args[1], n.callers()+args[2], header, body)
	if err != nil {
		return "", err
	}
	if key := header.Get(headerKey); key != "" {
		w.told.add(key, r)
	}
	output := strings.TrimSuffix(r.String(), "\n") + "\n"
	w.transcript.add("call "+strings.Join(args, " "), output)
	return output, nil
}

// fault switches faults of the emulator.
func (w *world) fault(args []string) (string, error) {
	r, err := call(context.Background(), http.MethodPost, w.platform+"/fault", http.Header{}, args[0])
	if err == nil && r.status != http.StatusOK {
		err = fmt.Errorf("fault is refused: %v", r)
	}
	return "", err
}

// burstCommand starts a burst: NAME... COUNT [every=MS] [path=PATH].
func (w *world) burstCommand(args []string) (string, error) {
	var pause time.Duration
	path := "/pay?time=20"
	var names []string
	var count int64
	for _, arg := range args {
		name, value, option := strings.Cut(arg, "=")
		number, err := strconv.ParseInt(arg, 10, 64)
		switch {
		case option && name == "path":
			path = value
		case option && name == "every":
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
	nodes, err := w.nodes(names)
	if err == nil {
		w.startBurst(nodes, count, pause, path)
	}
	return "", err
}

// settle waits for the end of the burst and prints what its callers were told.
func (w *world) settle([]string) (string, error) {
	done := make(chan struct{})
	go func() {
		w.burst.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(2 * patience):
		return "", fmt.Errorf("burst did not end within %v", 2*patience)
	}
	return w.summary(), nil
}

func (w *world) summary() string {
	counts := w.told.counts()
	text := fmt.Sprintf("%d keys: %d answered, %d notrun, %d unknown\n", w.told.size(),
		counts[failure.OutcomeAnswered], counts[failure.OutcomeNotRun], counts[failure.OutcomeUnknown])
	w.t.Log(strings.TrimSpace(text))
	return text
}

// repeat sends every key of the burst again through the entries.
func (w *world) repeat(args []string) (string, error) {
	nodes, err := w.nodes(args)
	if err != nil {
		return "", err
	}
	w.burst.repeat(nodes)
	return w.summary(), nil
}

// outcomes checks the numbers of last outcomes: OUTCOME<=N, OUTCOME>=N.
func (w *world) outcomes(args []string) (string, error) {
	counts := w.told.counts()
	for _, arg := range args {
		name, bound, least := strings.Cut(arg, ">=")
		if !least {
			name, bound, _ = strings.Cut(arg, "<=")
		}
		n, err := strconv.Atoi(bound)
		if err != nil {
			return "", fmt.Errorf("%q is not OUTCOME<=N or OUTCOME>=N", arg)
		}
		if got := counts[failure.Outcome(name)]; least && got < n || !least && got > n {
			return "", fmt.Errorf("%d keys are %s, want %s", got, name, arg)
		}
	}
	return "", nil
}

// pause lets a fault last.
func pause(_ *world, args []string) (string, error) {
	ms, err := strconv.Atoi(args[0])
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return "", err
}
