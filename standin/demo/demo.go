// Package demo runs three entries of package entry, as "hibiscuslane serve" does, against an emulated
// platform in one process. It shows and checks the main functions: requests, jobs, a move between
// pools, maintenance, conflicting publishes and a graceful shutdown.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strings"
	"text/tabwriter"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/entry"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/examples"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/emulator"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	configRoot = "small/config"
	// stepTimeout bounds a step. The longest step is a move, which drains and reboots an instance.
	stepTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// Options describe a run. A zero Events or Timer is ready to use.
type Options struct {
	Out    io.Writer
	Events event.Log
	Timer  *timer.Service
}

// demo is the state of a running demo.
type demo struct {
	Options
	fleet   *emulator.Emulator
	entries []*runningEntry
	clients []*admin.Client
	files   []config.FileContent
	version map[config.File]int64
}

// runningEntry is an entry whose Run method has been called.
type runningEntry struct {
	*entry.Entry
	cancel context.CancelFunc
	done   chan error
}

// wait waits until Run has returned and returns its error. It may be called more than once.
func (e *runningEntry) wait() error {
	err := <-e.done
	e.done <- err
	return err
}

// step is a part of the demo. call returns the text to print.
type step struct {
	name string
	call func(ctx context.Context) (string, error)
}

// Run runs the demo and prints a table with the outcome of each step. It stops at the first step that fails.
func Run(ctx context.Context, o Options) error {
	d := &demo{Options: o, version: map[config.File]int64{}}
	defer d.close()
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STEP\tRESULT\tTIME\tWHAT HAPPENED")
	var failed error
	for _, s := range d.steps() {
		start := o.Timer.Now()
		stepCtx, cancel := o.Timer.WithTimeout(ctx, stepTimeout)
		detail, err := s.call(stepCtx)
		cancel()
		result := "ok"
		if err != nil {
			result, detail = "failed", err.Error()
			failed = &StepError{Step: s.name, Reason: "wrong outcome", Cause: err}
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%s\n", s.name, result, o.Timer.Since(start).Round(time.Millisecond), detail)
		if failed != nil {
			break
		}
	}
	_ = table.Flush()
	return failed
}

func (d *demo) steps() []step {
	return []step{
		{"start", d.start},
		{"publish", d.publish},
		{"fleet", d.awaitAdmission},
		{"requests", d.sendRequests},
		{"job", d.runJob},
		{"maintenance", d.awaitMaintenance},
		{"move", d.moveInstance},
		{"lost race", d.publishConflict},
		{"shutdown", d.shutDownEntry},
		{"executions", d.checkExecutions},
	}
}

func (d *demo) start(context.Context) (string, error) {
	fleet := emulator.Fleet{
		Platform: emulator.Platform{ListLag: 200, RestartDelay: 500},
		Sites: []emulator.Site{
			{Centre: "alpha", Targets: 5, Workers: 5}, {Centre: "beta", Targets: 5, Workers: 5}, {Centre: "gamma", Targets: 5, Workers: 5},
		},
	}
	var err error
	if d.fleet, err = emulator.Start(fleet, d.Timer); err != nil {
		return "", err
	}
	if err := d.writeHistory(); err != nil {
		return "", err
	}
	for i, s := range fleet.Sites {
		if err := d.startEntry(instance.ID(fmt.Sprint("entry-", i+1)), s.Centre); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("platform, %d targets, %d workers, %d entries", len(d.fleet.Targets), len(d.fleet.Workers), len(d.entries)), nil
}

func (d *demo) startEntry(id instance.ID, centre site.DataCentre) error {
	const freePort = "127.0.0.1:0"
	e, err := entry.New(settings.Settings{
		ID: id, Centre: centre, Listen: settings.Listen{Callers: freePort, Peers: freePort, Admin: freePort},
		Platform: settings.Platform{BaseURL: d.fleet.Platform.URL(), RetentionMillis: settings.DefaultRetentionMillis}, StopMillis: settings.DefaultStopMillis,
	}, entry.Options{Timer: d.Timer, Events: d.Events})
	if err != nil {
		return err
	}
	d.fleet.Platform.Directory.AddEntry(upstream.Instance{
		ID: id, Kind: instance.KindEntry, Centre: centre, Incarnation: 1,
		Address: e.Addresses().Peers, State: upstream.StateLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningEntry{Entry: e, cancel: cancel, done: make(chan error, 1)}
	go func() { running.done <- e.Run(ctx) }()
	d.entries = append(d.entries, running)
	d.clients = append(d.clients, &admin.Client{BaseURL: "http://" + string(e.Addresses().Admin)})
	return nil
}

// close stops the entries, then the emulated fleet.
func (d *demo) close() {
	for _, e := range d.entries {
		e.cancel()
	}
	for _, e := range d.entries {
		// The entry logs an error itself, such as work that was cut off at the end of the demo.
		_ = e.wait()
	}
	if d.fleet != nil {
		// Emulated machines hold nothing that a failed close could lose.
		_ = d.fleet.Close()
	}
}

// eventually polls the condition until it is true or ctx ends. Errors of the condition do not end the wait; the last one
// is the cause of the returned error.
func (d *demo) eventually(ctx context.Context, what string, condition func() (bool, error)) error {
	var lastErr error
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		if err != nil {
			lastErr = err
		}
		if d.Timer.Sleep(ctx, pollInterval) != nil {
			return &StepError{Step: what, Reason: "did not happen in time", Cause: lastErr}
		}
	}
}

// readFiles reads the embedded configuration.
func readFiles() ([]config.FileContent, error) {
	var files []config.FileContent
	err := fs.WalkDir(examples.Files, configRoot, func(name string, item fs.DirEntry, err error) error {
		if err != nil || item.IsDir() {
			return err
		}
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return err
		}
		file := config.File(strings.TrimSuffix(strings.TrimPrefix(name, configRoot+"/"), path.Ext(name)))
		files = append(files, config.FileContent{Name: file, Data: data})
		return nil
	})
	return files, err
}

// awaitVersion waits until a configuration version is in force at all entries.
func (d *demo) awaitVersion(ctx context.Context, version int64) error {
	return d.eventually(ctx, "roll-out", func() (bool, error) {
		for _, c := range d.clients {
			response, err := c.Config(ctx)
			if err != nil || int64(response.Version) < version {
				return false, err
			}
		}
		return true, nil
	})
}

func decodeObject(data json.RawMessage) (map[string]any, error) {
	var tree map[string]any
	err := json.Unmarshal(data, &tree)
	return tree, err
}
