package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/standin/emulator"
)

// testEnvKey is the key of the testEnv in the values of a script.
type testEnvKey struct{}

// testEnv holds the processes of one script and the replies that callers received.
type testEnv struct {
	t   *testing.T
	dir string
	// configDir contains the example configuration.
	configDir                string
	fleet                    emulator.Fleet
	standin                  *process
	platformURL              string
	targetAddrs, workerAddrs []string
	// entries are in the order in which they were first started.
	entries []*node
	burst   *burst
	replies *replyLog
	// jobIDs are the ids of the jobs that the script submitted.
	jobIDs     []string
	transcript transcript
}

// node is an entry of the fleet with its settings and its process.
type node struct {
	*process
	settings settings.Settings
	frozen   bool
	exited   bool
}

func (n *node) name() string { return string(n.settings.ID) }

func (n *node) callerURL() string { return "http://" + string(n.settings.Listen.Callers) }

func (n *node) adminURL() string { return "http://" + string(n.settings.Listen.Admin) }

func (n *node) adminClient() *admin.Client {
	return &admin.Client{Base: n.adminURL(), HTTP: httpClient}
}

func newTestEnv(t *testing.T, dir, config string) *testEnv {
	return &testEnv{t: t, dir: dir, configDir: config, replies: newReplyLog(), transcript: transcript{names: map[string]string{config: "CONFIG"}}}
}

// close ends all processes by their process ids and logs their warnings if the test failed.
func (env *testEnv) close() {
	if env.burst != nil {
		env.burst.cancel()
		env.burst.callers.Wait()
	}
	for _, n := range env.entries {
		n.kill()
	}
	if env.standin != nil {
		env.standin.kill()
	}
	if env.t.Failed() {
		env.t.Logf("processes logged warnings:\n%s", env.collectWarnings())
	}
}

// collectWarnings returns the last warnings, errors and panics in the logs of the processes.
func (env *testEnv) collectWarnings() string {
	const maxLines = 40
	logs, err := filepath.Glob(filepath.Join(env.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	var text strings.Builder
	for _, name := range logs {
		data, err := os.ReadFile(name)
		if err != nil {
			return err.Error()
		}
		var lines []string
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "[WARN]") || strings.Contains(line, "[ERROR]") || strings.Contains(line, "panic") {
				lines = append(lines, filepath.Base(name)+": "+line)
			}
		}
		text.WriteString(strings.Join(lines[max(0, len(lines)-maxLines):], ""))
	}
	return text.String()
}

// process is a child process. Its stderr is written to a log file in the directory of the script.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (env *testEnv) startProcess(name string, stdout *os.File, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(env.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{command: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	p.command.Stderr, p.command.Dir = log, env.dir
	if stdout != nil {
		p.command.Stdout = stdout
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// kill kills the process if it still runs and waits for its exit. SIGKILL also ends a stopped process.
func (p *process) kill() {
	select {
	case <-p.done:
	default:
		_ = p.signal(syscall.SIGKILL)
		<-p.done
	}
}

const (
	portFirst = 12_000
	portLast  = 30_000
	// portsPerScript is the number of ports of one script. All ports are below the ephemeral range: an instance
	// that is switched off releases its port, and no outgoing connection may take it before the instance needs
	// it again.
	portsPerScript = 60
)

var nextBlock atomic.Int64

func init() { nextBlock.Store(rand.Int64N((portLast - portFirst) / portsPerScript)) }

// findFreePorts returns the first port of a block in which all ports are free.
func findFreePorts() (int, error) {
	const blocks = (portLast - portFirst) / portsPerScript
	for range blocks {
		first := portFirst + int(nextBlock.Add(1)%blocks)*portsPerScript
		if areBlockPortsFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no block of %d free ports from %d to %d", portsPerScript, portFirst, portLast)
}

func areBlockPortsFree(first int) bool {
	for port := first; port < first+portsPerScript; port++ {
		l, err := net.Listen("tcp", loopbackAddr(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func loopbackAddr(port int) string { return fmt.Sprint("127.0.0.1:", port) }

// startFleet starts the emulators of a fleet file and assigns the ports and addresses that the file leaves out.
func (env *testEnv) startFleet(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &env.fleet); err != nil {
		return err
	}
	port, err := findFreePorts()
	if err != nil {
		return err
	}
	env.fleet.Platform.Address = loopbackAddr(port)
	env.platformURL = "http://" + env.fleet.Platform.Address
	env.transcript.names[env.fleet.Platform.Address] = "platform"
	for i := range env.fleet.Entries {
		port++
		env.fleet.Entries[i].Address = instance.Address(loopbackAddr(port))
	}
	// Two more ports per entry are for callers and operators.
	env.fleet.FirstPort = port + 1 + 2*len(env.fleet.Entries)
	if data, err = json.Marshal(env.fleet); err != nil {
		return err
	}
	path := filepath.Join(env.dir, "fleet.run.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	return env.startStandin(path)
}

func (env *testEnv) startStandin(path string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	env.standin, err = env.startProcess("standin", writer, filepath.Join(programDir, "standin"), "serve", "--fleet", path)
	_ = writer.Close()
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) > 2 && fields[0] == "target":
			env.targetAddrs = append(env.targetAddrs, fields[2])
		case len(fields) > 2 && fields[0] == "worker":
			env.workerAddrs = append(env.workerAddrs, fields[2])
		case len(fields) > 1 && fields[0] == "platform":
			return nil
		}
	}
	return fmt.Errorf("standin exited before it was ready, see standin.log")
}

// startEntry starts an entry of the fleet file. An entry that ran before is started with the same addresses.
func (env *testEnv) startEntry(name string) error {
	n := env.findNode(name)
	if n == nil {
		n = &node{exited: true}
		if err := env.writeSettings(n, name); err != nil {
			return err
		}
		env.entries = append(env.entries, n)
	}
	if !n.exited {
		return fmt.Errorf("entry %s is already running", name)
	}
	p, err := env.startProcess(name, nil, filepath.Join(programDir, "hibiscuslane"), "serve", "--settings", name+".settings.json")
	if err != nil {
		return err
	}
	n.process, n.exited, n.frozen = p, false, false
	return nil
}

// writeSettings chooses the addresses of an entry and writes its settings file.
func (env *testEnv) writeSettings(n *node, name string) error {
	for i, e := range env.fleet.Entries {
		if string(e.ID) != name {
			continue
		}
		port := env.fleet.FirstPort - 2*(i+1)
		n.settings = settings.Settings{
			ID: e.ID, Centre: e.Centre,
			Listen: settings.Listen{
				Callers: instance.Address(loopbackAddr(port)), Peers: e.Address, Admin: instance.Address(loopbackAddr(port + 1)),
			},
			Platform: settings.Platform{BaseURL: env.platformURL, RetentionMillis: settings.DefaultRetentionMillis},
			Log:      settings.Log{Level: "info", Format: "text"}, StopMillis: 10_000,
		}
		for what, address := range map[string]instance.Address{"callers": n.settings.Listen.Callers, "peers": e.Address, "admin": n.settings.Listen.Admin} {
			env.transcript.names[string(address)] = name + "/" + what
		}
		data, err := json.Marshal(n.settings)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(env.dir, name+".settings.json"), data, 0o600)
	}
	return fmt.Errorf("entry %s is not in the fleet file", name)
}

func (env *testEnv) findNode(name string) *node {
	for _, n := range env.entries {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// liveNodes returns the entries that are running and not paused by SIGSTOP.
func (env *testEnv) liveNodes() []*node {
	var live []*node
	for _, n := range env.entries {
		if !n.exited && !n.frozen {
			live = append(live, n)
		}
	}
	return live
}

// runCLI runs a subcommand of hibiscuslane, against an entry unless n is nil, and returns its output.
func (env *testEnv) runCLI(n *node, args []string) (stdout, stderr string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	switch {
	case n == nil:
	case args[0] == "job":
		args = append([]string{"job", args[1], "--entry", n.callerURL()}, args[2:]...)
	default:
		args = append([]string{args[0], "--entry", n.adminURL()}, args[1:]...)
	}
	c := exec.CommandContext(ctx, filepath.Join(programDir, "hibiscuslane"), args...)
	var out, errOut bytes.Buffer
	c.Stdout, c.Stderr, c.Dir = &out, &errOut, env.dir
	err = c.Run()
	return out.String(), errOut.String(), err
}

// pollUntil calls condition repeatedly until it returns nil. It fails after waitTimeout.
func pollUntil(condition func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %w", waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
