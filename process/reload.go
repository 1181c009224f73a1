package process

import (
	"context"
	"os"
	"time"

	"hibiscuslane.example/hibiscuslane/settings"
)

// settingsPeriod is the time between looks at the settings, which may change without a signal.
const settingsPeriod = 2 * time.Second

// WatchSettings takes over changed settings, at once after a signal and else within settingsPeriod, until
// ctx ends. Settings that cannot be read leave those in force.
func (p *Process) WatchSettings(ctx context.Context, load func() (settings.Deployment, error), hangup <-chan os.Signal) {
	tick := p.clock.Every(settingsPeriod)
	defer tick.Stop()
	failed := false
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
		case <-hangup:
			signalled = true
		}
		s, err := load()
		if err != nil {
			if signalled || !failed {
				p.log.Warn(eventUnread, "signal", signalled, "error", err)
			}
			failed = true
			continue
		}
		failed = false
		p.reload(s, signalled)
	}
}

// reload puts settings in force. Addresses stay as they were until the process starts again, since callers
// and peers are connected to them.
func (p *Process) reload(s settings.Deployment, signalled bool) {
	p.mu.Lock()
	old, known := p.settings, p.read == s
	next := old
	next.Contract, next.Cores = s.Contract, s.Cores
	p.settings, p.read = next, s
	p.mu.Unlock()
	if known && !signalled {
		return
	}
	p.log.Info(eventReload, "signal", signalled, "changed", next != old, "addresses", next != s, "cores", s.Cores, "lease", s.Contract.MaxLease)
	if next == old {
		return
	}
	p.keeper.SetCandidacyDelay(handicapOf(next.Cores, max(next.Cores, fullCores)))
	if d := p.dispatcher(); d != nil {
		d.SetTiming(bounds(next.Contract))
	}
}

// current returns the settings in force.
func (p *Process) current() settings.Deployment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}
