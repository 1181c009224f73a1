// Package demo runs three entries against emulated machines in one process and shows the main job:
// requests, jobs, a move, a maintenance drain and a graceful shutdown.
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
	root = "small/config"
	// stepLimit bounds a step; the longest is a move, which drains and reboots an instance.
	stepLimit = time.Minute
	poll      = 20 * time.Millisecond
)

// Options describe a run. The zero value is ready to use.
type Options struct {
	Out    io.Writer
	Events event.Log
	Timer  *timer.Service
}

// run is the state of a demo.
type run struct {
	Options
	fleet   *emulator.Emulator
	nodes   []*node
	clients []*admin.Client
	files   []config.FileContent
	version map[config.File]int64
}

// node is a running entry.
type node struct {
	*entry.Entry
	stop context.CancelFunc
	done chan error
}

// wait returns the result of Run. It may be called more than once.
func (n *node) wait() error {
	err := <-n.done
	n.done <- err
	return err
}

// step is one part of the demo; it returns what is to be shown.
type step struct {
	name string
	call func(ctx context.Context) (string, error)
}

// Run runs the demo and prints a table of what happened. It fails with the first wrong outcome.
func Run(ctx context.Context, o Options) error {
	r := &run{Options: o, version: map[config.File]int64{}}
	defer r.close()
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STEP\tRESULT\tTIME\tWHAT HAPPENED")
	var failed error
	for _, s := range r.steps() {
		start := o.Timer.Now()
		stepCtx, cancel := o.Timer.WithTimeout(ctx, stepLimit)
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

func (r *run) steps() []step {
	return []step{
		{"start", r.start},
		{"publish", r.publish},
		{"fleet", r.admitted},
		{"requests", r.requests},
		{"job", r.job},
		{"maintenance", r.maintenance},
		{"move", r.move},
		{"lost race", r.race},
		{"shutdown", r.shutdown},
		{"executions", r.executions},
	}
}

func (r *run) start(context.Context) (string, error) {
	fleet := emulator.Fleet{
		Platform: emulator.Platform{Lag: 200, Restart: 500},
		Sites: []emulator.Site{
			{Centre: "alpha", Targets: 5, Workers: 5}, {Centre: "beta", Targets: 5, Workers: 5}, {Centre: "gamma", Targets: 5, Workers: 5},
		},
	}
	var err error
	if r.fleet, err = emulator.Start(fleet, r.Timer); err != nil {
		return "", err
	}
	if err := r.history(); err != nil {
		return "", err
	}
	for i, s := range fleet.Sites {
		if err := r.startEntry(instance.ID(fmt.Sprint("entry-", i+1)), s.Centre); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("platform, %d targets, %d workers, %d entries", len(r.fleet.Targets), len(r.fleet.Workers), len(r.nodes)), nil
}

func (r *run) startEntry(id instance.ID, centre site.DataCentre) error {
	const freePort = "127.0.0.1:0"
	e, err := entry.New(settings.Settings{
		ID: id, Centre: centre, Listen: settings.Listen{Callers: freePort, Peers: freePort, Admin: freePort},
		Platform: settings.Platform{BaseURL: r.fleet.Platform.URL(), RetentionMillis: settings.DefaultRetentionMillis}, StopMillis: settings.DefaultStopMillis,
	}, entry.Options{Timer: r.Timer, Events: r.Events})
	if err != nil {
		return err
	}
	r.fleet.Platform.Directory.AddEntry(upstream.Instance{
		ID: id, Kind: instance.KindEntry, Centre: centre, Incarnation: 1,
		Address: e.Addresses().Peers, State: upstream.StateLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Entry: e, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- e.Run(ctx) }()
	r.nodes = append(r.nodes, n)
	r.clients = append(r.clients, &admin.Client{Base: "http://" + string(e.Addresses().Admin)})
	return nil
}

func (r *run) close() {
	for _, n := range r.nodes {
		n.stop()
	}
	for _, n := range r.nodes {
		// A cut-off at the end of the demo is logged by the entry.
		_ = n.wait()
	}
	if r.fleet != nil {
		// The machines are emulated; nothing is lost if one does not close.
		_ = r.fleet.Close()
	}
}

// eventually polls until the condition holds or ctx ends.
func (r *run) eventually(ctx context.Context, what string, condition func() (bool, error)) error {
	var last error
	for {
		ok, err := condition()
		if ok {
			return nil
		}
		if err != nil {
			last = err
		}
		if r.Timer.Sleep(ctx, poll) != nil {
			return &StepError{Step: what, Reason: "did not happen in time", Cause: last}
		}
	}
}

// readFiles reads the embedded configuration.
func readFiles() ([]config.FileContent, error) {
	var files []config.FileContent
	err := fs.WalkDir(examples.Files, root, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return err
		}
		file := config.File(strings.TrimSuffix(strings.TrimPrefix(name, root+"/"), path.Ext(name)))
		files = append(files, config.FileContent{Name: file, Data: data})
		return nil
	})
	return files, err
}

// inForce waits until all entries have a configuration version in force.
func (r *run) inForce(ctx context.Context, version int64) error {
	return r.eventually(ctx, "roll-out", func() (bool, error) {
		for _, c := range r.clients {
			answer, err := c.Config(ctx)
			if err != nil || int64(answer.Version) < version {
				return false, err
			}
		}
		return true, nil
	})
}

func object(data json.RawMessage) (map[string]any, error) {
	var tree map[string]any
	err := json.Unmarshal(data, &tree)
	return tree, err
}
