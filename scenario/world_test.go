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

// worldKey is the key of the world among the values of a script.
type worldKey struct{}

// world is what one script runs: a fleet, entries, and what their callers were told.
type world struct {
	t   *testing.T
	dir string
	// config is the directory of the example configuration.
	config   string
	fleet    emulator.Fleet
	standin  *process
	platform string
	// targets and workers hold addresses.
	targets, workers []string
	// entries are in the order of their start.
	entries []*node
	burst   *burst
	told    *ledger
	// jobs holds the ids of the jobs that the script submitted.
	jobs       []string
	transcript transcript
}

// node is an entry of the fleet.
type node struct {
	*process
	settings settings.Settings
	frozen   bool
	dead     bool
}

func (n *node) name() string { return string(n.settings.ID) }

func (n *node) callers() string { return "http://" + string(n.settings.Listen.Callers) }

func (n *node) admin() string { return "http://" + string(n.settings.Listen.Admin) }

func (n *node) client() *admin.Client { return &admin.Client{Base: n.admin(), HTTP: httpClient} }

func newWorld(t *testing.T, dir, config string) *world {
	return &world{t: t, dir: dir, config: config, told: newLedger(), transcript: transcript{names: map[string]string{config: "CONFIG"}}}
}

// close ends all processes by their pid.
func (w *world) close() {
	if w.burst != nil {
		w.burst.cancel()
		w.burst.wait.Wait()
	}
	for _, n := range w.entries {
		n.end()
	}
	if w.standin != nil {
		w.standin.end()
	}
	if w.t.Failed() {
		w.t.Logf("processes logged warnings:\n%s", w.warnings())
	}
}

// warnings returns the last lines of the logs that are warnings or errors.
func (w *world) warnings() string {
	const most = 40
	logs, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
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
		text.WriteString(strings.Join(lines[max(0, len(lines)-most):], ""))
	}
	return text.String()
}

// process is a child process. Its log is a file in the directory of the script.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (w *world) start(name string, stdout *os.File, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{command: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	p.command.Stderr, p.command.Dir = log, w.dir
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

// end kills the process, if it still runs, and waits for it. SIGKILL also ends a stopped process.
func (p *process) end() {
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
	// portBlock is the number of ports of one script. They are below the range of outgoing
	// connections, because a machine that is off frees its port and needs it again.
	portBlock = 60
)

var nextBlock atomic.Int64

func init() { nextBlock.Store(rand.Int64N((portLast - portFirst) / portBlock)) }

// freePorts returns the first port of a block in which all ports are free.
func freePorts() (int, error) {
	const blocks = (portLast - portFirst) / portBlock
	for range blocks {
		first := portFirst + int(nextBlock.Add(1)%blocks)*portBlock
		if free(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no block of %d free ports from %d to %d", portBlock, portFirst, portLast)
}

func free(first int) bool {
	for port := first; port < first+portBlock; port++ {
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func loopback(port int) string { return fmt.Sprint("127.0.0.1:", port) }

// startFleet starts the emulators of a fleet file in which ports and addresses are left out.
func (w *world) startFleet(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &w.fleet); err != nil {
		return err
	}
	port, err := freePorts()
	if err != nil {
		return err
	}
	w.fleet.Platform.Address = loopback(port)
	w.platform = "http://" + w.fleet.Platform.Address
	w.transcript.names[w.fleet.Platform.Address] = "platform"
	for i := range w.fleet.Entries {
		port++
		w.fleet.Entries[i].Address = instance.Address(loopback(port))
	}
	// Two more ports per entry are for callers and operators.
	w.fleet.FirstPort = port + 1 + 2*len(w.fleet.Entries)
	if data, err = json.Marshal(w.fleet); err != nil {
		return err
	}
	path := filepath.Join(w.dir, "fleet.run.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	return w.startStandin(path)
}

func (w *world) startStandin(path string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	w.standin, err = w.start("standin", writer, filepath.Join(programs, "standin"), "serve", "--fleet", path)
	_ = writer.Close()
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) > 2 && fields[0] == "target":
			w.targets = append(w.targets, fields[2])
		case len(fields) > 2 && fields[0] == "worker":
			w.workers = append(w.workers, fields[2])
		case len(fields) > 1 && fields[0] == "platform":
			return nil
		}
	}
	return fmt.Errorf("standin ended before it was ready; see standin.log")
}

// startEntry starts an entry that the fleet lists. One that ended before starts at its old addresses.
func (w *world) startEntry(name string) error {
	n := w.find(name)
	if n == nil {
		n = &node{dead: true}
		if err := w.configure(n, name); err != nil {
			return err
		}
		w.entries = append(w.entries, n)
	}
	if !n.dead {
		return fmt.Errorf("%s runs already", name)
	}
	p, err := w.start(name, nil, filepath.Join(programs, "hibiscuslane"), "serve", "--settings", name+".settings.json")
	if err != nil {
		return err
	}
	n.process, n.dead, n.frozen = p, false, false
	return nil
}

// configure writes the settings of an entry.
func (w *world) configure(n *node, name string) error {
	for i, e := range w.fleet.Entries {
		if string(e.ID) != name {
			continue
		}
		port := w.fleet.FirstPort - 2*(i+1)
		n.settings = settings.Settings{
			ID: e.ID, Centre: e.Centre,
			Listen: settings.Listen{
				Callers: instance.Address(loopback(port)), Peers: e.Address, Admin: instance.Address(loopback(port + 1)),
			},
			Platform: settings.Platform{BaseURL: w.platform, RetentionMillis: settings.DefaultRetentionMillis},
			Log:      settings.Log{Level: "info", Format: "text"}, StopMillis: 10_000,
		}
		for what, address := range map[string]instance.Address{"callers": n.settings.Listen.Callers, "peers": e.Address, "admin": n.settings.Listen.Admin} {
			w.transcript.names[string(address)] = name + "/" + what
		}
		data, err := json.Marshal(n.settings)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(w.dir, name+".settings.json"), data, 0o600)
	}
	return fmt.Errorf("%s is not in the fleet file", name)
}

func (w *world) find(name string) *node {
	for _, n := range w.entries {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// live returns the entries that run and are not frozen.
func (w *world) live() []*node {
	var live []*node
	for _, n := range w.entries {
		if !n.dead && !n.frozen {
			live = append(live, n)
		}
	}
	return live
}

// cli runs a subcommand of hibiscuslane against an entry and returns what it printed.
func (w *world) cli(n *node, args []string) (stdout, stderr string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	switch {
	case n == nil:
	case args[0] == "job":
		args = append([]string{"job", args[1], "--entry", n.callers()}, args[2:]...)
	default:
		args = append([]string{args[0], "--entry", n.admin()}, args[1:]...)
	}
	c := exec.CommandContext(ctx, filepath.Join(programs, "hibiscuslane"), args...)
	var out, fault bytes.Buffer
	c.Stdout, c.Stderr, c.Dir = &out, &fault, w.dir
	err = c.Run()
	return out.String(), fault.String(), err
}

// eventually polls until the condition holds; patience bounds the time.
func eventually(condition func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %w", patience, err)
		}
		time.Sleep(poll)
	}
}
