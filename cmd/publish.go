package cmd

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/timer"
)

// defaultResolveTimeout is how long the publish command looks for its record in the audit trail after the
// response was lost. It exceeds the time that an entry needs to retry an append a few times.
const defaultResolveTimeout = 15 * time.Second

// publisher holds the flags and the state of the publish command.
type publisher struct {
	files          fileFlags
	entry          string
	remove         []string // sites whose overlays are removed
	baseVersions   map[string]int64
	author         string
	reason         string
	dry            bool
	asJSON         bool
	resolveTimeout time.Duration

	client *admin.Client
	// workspace is nil if the files are not in a directory written by the fetch command.
	workspace *workspace
	timer     *timer.Service
	out       io.Writer
}

func newPublish() *cobra.Command {
	p := &publisher{}
	c := &cobra.Command{
		Use:   "publish",
		Short: "Publish files, each based on a version",
		Long: `Publish sets or removes files of the configuration in force. Each file is based on a version; if
another operator has published the file since, nothing is published and the other change is shown.
The versions are those of --based, else those that fetch wrote to the directory. Without either they
are read just before the publish, which does not detect changes that were made while you edited. Files
that equal the ones in that version are left out, unless --based is given.

The exit status is 0 if the publish is in force, 1 if it is not, and 2 if that is unknown.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p.client = newAdminClient(p.entry)
			p.out = c.OutOrStdout()
			return p.run(c.Context())
		},
	}
	p.files.register(c)
	c.Flags().StringVar(&p.entry, "entry", defaultAdminURL, "URL of the admin address of an entry")
	c.Flags().StringSliceVar(&p.remove, "remove", nil, "site whose overlay is removed; may be repeated")
	c.Flags().StringToInt64Var(&p.baseVersions, "based", nil, "version of each file, FILE=VERSION with FILE base or site/NAME; -1 for a new file")
	c.Flags().StringVar(&p.author, "author", userName(), "your name in the audit trail")
	c.Flags().StringVar(&p.reason, "reason", "", "why, for the audit trail")
	c.Flags().BoolVar(&p.dry, "dry-run", false, "only check, and print the difference")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print the result as JSON")
	c.Flags().DurationVar(&p.resolveTimeout, "settle", defaultResolveTimeout, "how long to look for the record in the trail if the answer is lost")
	return c
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

func (p *publisher) run(ctx context.Context) error {
	if p.author == "" || (p.reason == "" && !p.dry) {
		return &UsageError{Reason: "--author and --reason are required"}
	}
	changes, err := p.changes()
	if err != nil {
		return err
	}
	changes, err = p.setVersions(ctx, changes)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return printText(p.out, "nothing to publish: the files equal the published ones\n")
	}
	return p.publish(ctx, admin.PublishRequest{Files: changes, Author: record.Author(p.author), Reason: p.reason})
}

// changes returns the files to set and to remove, without base versions.
func (p *publisher) changes() ([]config.FileChange, error) {
	files, err := p.files.read()
	if err != nil {
		return nil, err
	}
	var changes []config.FileChange
	var faults []config.Fault
	for _, file := range files {
		if p.isRemoved(file.Name) {
			continue
		}
		change := config.FileChange{Name: file.Name, Content: file.Data}
		faults = append(faults, change.Check()...)
		if change.IsRemoval() {
			// Null content would remove the file, which only --remove may do.
			faults = append(faults, config.Fault{File: file.Name, Reason: "must be an object"})
		}
		changes = append(changes, change)
	}
	if len(faults) > 0 {
		return nil, &config.CheckError{Faults: faults}
	}
	for _, name := range p.remove {
		changes = append(changes, config.FileChange{Name: config.OverlayFile(site.Name(name))})
	}
	if len(changes) == 0 {
		return nil, &UsageError{Reason: "no files given: use --dir, --base, --site or --remove"}
	}
	return changes, nil
}

func (p *publisher) isRemoved(name config.File) bool {
	return slices.ContainsFunc(p.remove, func(removed string) bool { return config.OverlayFile(site.Name(removed)) == name })
}

// setVersions sets the version that each change is based on. Unless --based is given, it leaves out files that
// would not change.
func (p *publisher) setVersions(ctx context.Context, changes []config.FileChange) ([]config.FileChange, error) {
	if p.files.dir != "" {
		var err error
		if p.workspace, err = openWorkspace(p.files.dir); err != nil {
			return nil, err
		}
	}
	switch {
	case p.baseVersions != nil:
		return changes, p.setGivenVersions(changes)
	case p.workspace != nil:
		return p.workspace.setFetchedVersions(changes), nil
	}
	return p.setPublishedVersions(ctx, changes)
}

// setGivenVersions sets the base versions to those of --based.
func (p *publisher) setGivenVersions(changes []config.FileChange) error {
	for i := range changes {
		version, ok := p.baseVersions[string(changes[i].Name)]
		if !ok {
			return &UsageError{Reason: fmt.Sprintf("--based lacks the version of %s", changes[i].Name)}
		}
		changes[i].BaseVersion = record.Offset(version)
	}
	return nil
}

// setPublishedVersions sets the base versions to the published ones. It leaves out files that would not change,
// because publishing them would needlessly cause conflicts for other operators.
func (p *publisher) setPublishedVersions(ctx context.Context, changes []config.FileChange) ([]config.FileChange, error) {
	present, err := p.client.Config(ctx)
	if err != nil {
		return nil, err
	}
	var changed []config.FileChange
	for _, change := range changes {
		change.BaseVersion = config.NoVersion
		i := slices.IndexFunc(present.Files, func(file config.Published) bool { return file.Name == change.Name })
		if i >= 0 {
			change.BaseVersion = present.Files[i].Version
			published := config.FileChange{Name: change.Name, Content: present.Files[i].Content}
			if published.Digest() == change.Digest() {
				continue
			}
		}
		changed = append(changed, change)
	}
	return changed, nil
}

func (p *publisher) publish(ctx context.Context, request admin.PublishRequest) error {
	lastOffset := config.NoVersion
	if !p.dry {
		var err error
		if lastOffset, err = p.lastPublishOffset(ctx); err != nil {
			return err
		}
	}
	response, err := p.client.Publish(ctx, request, p.dry)
	if err == nil {
		return p.reportSuccess(response, request)
	}
	coded := failure.Of(err)
	switch {
	case coded.Code() == failure.CodeConflict:
		return p.newRaceError(ctx, request, err.Error())
	case coded.Outcome() == failure.OutcomeUnknown && !p.dry:
		return p.resolveUnknownResult(ctx, request, lastOffset, err)
	}
	return err
}

// reportSuccess prints the result of a publish or dry run. It stores the new version of a publish in the
// workspace, if there is one.
func (p *publisher) reportSuccess(response admin.PublishResponse, request admin.PublishRequest) error {
	if err := p.printResult(response, request); err != nil || p.workspace == nil || response.DryRun {
		return err
	}
	return p.workspace.recordPublish(request.Files, response.Version)
}

func (p *publisher) printResult(response admin.PublishResponse, request admin.PublishRequest) error {
	if p.asJSON {
		return printJSON(p.out, response)
	}
	if response.Difference != nil {
		if err := printText(p.out, "%s", response.Difference.Text()); err != nil {
			return err
		}
	}
	for _, file := range request.Files {
		state := fmt.Sprintf("published as version %d", response.Version)
		if response.DryRun {
			state = "checked, not published"
		}
		if err := printText(p.out, "%s (from version %d): %s\n", file.Name, file.BaseVersion, state); err != nil {
			return err
		}
	}
	return nil
}
