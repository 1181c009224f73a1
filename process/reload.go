package process

import (
	"context"
	"os"
	"time"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/settings"
)

// settingsPollPeriod is the interval at which the settings are read, since they may change without a signal.
const settingsPollPeriod = 2 * time.Second

// WatchSettings applies changed settings until ctx ends, immediately after a signal and otherwise within
// settingsPollPeriod. If the settings cannot be read, the current ones stay in force.
func (p *Process) WatchSettings(ctx context.Context, load func() (settings.Deployment, error), hangup <-chan os.Signal) {
	tick := p.clock.Every(settingsPollPeriod)
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
				p.log.Warn(eventSettingsUnreadable, "signal", signalled, "error", err)
			}
			failed = true
			continue
		}
		failed = false
		p.reload(s, signalled)
	}
}

// reload applies the timings and cores of new settings. The other settings change only when the process
// restarts, since callers and peers are connected to its addresses.
func (p *Process) reload(s settings.Deployment, signalled bool) {
	p.mu.Lock()
	old, unchanged := p.settings, p.lastRead == s
	next := old
	next.Timings, next.Cores = s.Timings, s.Cores
	p.settings, p.lastRead = next, s
	p.mu.Unlock()
	if unchanged && !signalled {
		return
	}
	p.log.Info(eventSettingsReloaded, "signal", signalled, "changed", next != old, "addresses", next != s, "cores", s.Cores, "lease", s.Timings.MaxLease)
	if next == old {
		return
	}
	p.elector.SetCandidacyDelay(candidacyDelayOf(p.currentCores(), max(election.Cores(next.Cores), defaultLargestCores)))
	if d := p.dispatcher(); d != nil {
		d.SetTiming(newDispatchTiming(next.Timings))
	}
}

// currentSettings returns the settings in force.
func (p *Process) currentSettings() settings.Deployment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}
