package cmd

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/draft"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
)

// storeTimeout limits the reading of the configuration in force.
const storeTimeout = 10 * time.Second

// draftFlags holds the flags that select a configuration of the users' platform and what it is compared with.
type draftFlags struct {
	config, against, store, settings string
}

// draftReport is the result of a check, as it is printed.
type draftReport struct {
	Findings []draftFinding `json:"findings"`
	Changes  []draftChange  `json:"changes,omitempty"`
}

type draftFinding struct {
	Severity draft.Severity `json:"severity"`
	Field    string         `json:"field"` // path in the published form; empty for the whole document
	Reason   string         `json:"reason"`
}

type draftChange struct {
	Field  string `json:"field"` // path in the published form, with the name of the element
	Change string `json:"change"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// checkDraft checks a configuration, prints the report and returns an error if there are findings.
func checkDraft(ctx context.Context, w io.Writer, flags draftFlags, asJSON bool) error {
	if flags.against != "" && flags.store != "" {
		return &UsageError{Reason: "--against excludes --store"}
	}
	data, err := os.ReadFile(flags.config)
	if err != nil {
		return &UsageError{Reason: "--config: " + err.Error()}
	}
	deployment, err := readDeployment(flags.settings)
	if err != nil {
		return err
	}
	config, misfits := platform.ParseDraft(data)
	report := draftReport{Findings: []draftFinding{}}
	for _, m := range misfits {
		report.Findings = append(report.Findings, draftFinding{Severity: draft.SeverityError, Field: m.Path, Reason: m.Reason})
	}
	if len(misfits) > 0 {
		return report.print(w, asJSON) // what is missing because of its form would show as further faults
	}
	for _, f := range draft.Check(config, deployment) {
		report.Findings = append(report.Findings, draftFinding{Severity: f.Severity, Field: platform.FindingPath(f), Reason: f.Reason})
	}
	if faults, _ := report.count(); faults == 0 {
		if _, err := platform.ParseConfig(data); err != nil {
			report.Findings = append(report.Findings, draftFinding{Severity: draft.SeverityError, Reason: "entries refuse it: " + err.Error()})
		}
	}
	inForce, err := flags.readInForce(ctx)
	if err != nil {
		return err
	}
	if inForce != nil {
		report.compare(inForce, config)
	}
	return report.print(w, asJSON)
}

// compare adds what differs from the configuration in force.
func (r *draftReport) compare(inForce []byte, config *draft.Config) {
	before, misfits := platform.ParseDraft(inForce)
	for _, m := range misfits {
		reason := "cannot be compared with the version in force, which does not have the published form: " + strings.TrimPrefix(m.Path+" "+m.Reason, " ")
		r.Findings = append(r.Findings, draftFinding{Severity: draft.SeverityWarning, Reason: reason})
	}
	if len(misfits) > 0 {
		return
	}
	for _, c := range draft.Compare(before, config) {
		r.Changes = append(r.Changes, toDraftChange(c))
	}
	if config.Version <= before.Version {
		r.Findings = append(r.Findings, draftFinding{Severity: draft.SeverityError, Field: "version", Reason: "is not above the version in force: entries ignore it"})
	}
}

// readDeployment returns what a settings file of an entry says about limits; nothing without a path.
func readDeployment(path string) (draft.Deployment, error) {
	if path == "" {
		return draft.Deployment{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return draft.Deployment{}, &UsageError{Reason: "--settings: " + err.Error()}
	}
	s, err := platform.ParseSettings(data)
	if err != nil {
		return draft.Deployment{}, err
	}
	return draft.Deployment{MaxLease: s.Timings.MaxLease, StoreRecordBytes: s.StoreRecordBytes}, nil
}

// readInForce returns the configuration in force as it was published; nil if none is to be compared with or none was published.
func (f draftFlags) readInForce(ctx context.Context) ([]byte, error) {
	if f.against != "" {
		data, err := os.ReadFile(f.against)
		if err != nil {
			return nil, &UsageError{Reason: "--against: " + err.Error()}
		}
		return data, nil
	}
	if f.store == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := &platform.Store{Address: instance.Address(f.store), HTTP: platform.NewHTTPClient(1)}
	records, _, err := store.Newest(ctx, platform.TopicOperator, 0)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Key == platform.ConfigKey {
			return r.Value, nil
		}
	}
	return nil, nil
}

func toDraftChange(c draft.Change) draftChange {
	change := draftChange{Field: platform.ChangePath(c), Change: "changed", Before: c.Before, After: c.After}
	switch {
	case c.IsAdded:
		change.Change = "added"
	case c.IsRemoved:
		change.Change = "removed"
	}
	return change
}

// print prints the report and returns an error that says how many findings there are.
func (r draftReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		if err := printJSON(w, r); err != nil {
			return err
		}
	} else if err := r.printText(w); err != nil {
		return err
	}
	faults, warnings := r.count()
	switch {
	case faults > 0:
		return &FaultsError{Count: faults}
	case warnings > 0:
		return &WarningsError{Count: warnings}
	}
	return nil
}

// count returns the number of findings by severity.
func (r draftReport) count() (faults, warnings int) {
	for _, f := range r.Findings {
		if f.Severity == draft.SeverityError {
			faults++
		} else {
			warnings++
		}
	}
	return faults, warnings
}

func (r draftReport) printText(w io.Writer) error {
	for _, f := range r.Findings {
		if err := printText(w, "%s: %s: %s\n", f.Severity, f.Field, f.Reason); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		line := c.Change + ": " + c.Field
		if c.Before != "" || c.After != "" {
			line += ": " + c.Before + " -> " + c.After
		}
		if err := printText(w, "%s\n", line); err != nil {
			return err
		}
	}
	return nil
}
