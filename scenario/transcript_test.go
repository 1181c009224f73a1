package scenario

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/sebdah/goldie/v2"
)

// transcript is a session as an operator sees it, with stable names in place of what varies.
type transcript struct {
	text strings.Builder
	// names holds the stable names of addresses.
	names map[string]string
}

func (t *transcript) add(command, output string) {
	t.text.WriteString("> " + command + "\n" + output)
}

// variable are the parts of an output that differ between runs.
var variable = []struct {
	pattern *regexp.Regexp
	name    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	// Which entry runs the workers of a pool depends on which peers it has heard by then.
	{regexp.MustCompile(`(?m)^(TIME job/\d+ (?:place|start|finish) applied by )"entry-\d+"`), `$1"entry-N"`},
	// Which entry admits which instance into which pool depends on who comes first.
	{regexp.MustCompile(`(?m)^TIME fleet/\d+ admit .*\n(  .*\n)*`), ""},
	{regexp.MustCompile(`\b(alpha|beta|gamma)-(target|worker)-\d+`), "$2-N"},
	{regexp.MustCompile(`(?m)^((?:claim|fleet|job)(?:\.snapshot)?) +\d+$`), "$1 OFFSET"},
	{regexp.MustCompile(`(?m)^(entry-\d+ .*) +\d+$`), "$1 SILENCE"},
	{regexp.MustCompile(`(?m) +$`), ""},
}

// id is the form of request and job ids.
var id = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

func (t *transcript) normal() string {
	text := t.text.String()
	for address, name := range t.names {
		text = strings.ReplaceAll(text, address, name)
	}
	for _, v := range variable {
		text = v.pattern.ReplaceAllString(text, v.name)
	}
	// Ids are numbered, so that a repeated answer is seen to be the same one.
	ids := map[string]string{}
	return id.ReplaceAllStringFunc(text, func(found string) string {
		if ids[found] == "" {
			ids[found] = fmt.Sprint("id-", len(ids)+1)
		}
		return ids[found]
	})
}

// golden compares the transcript with a golden file: NAME. The flag -update rewrites the file.
func (w *world) golden(args []string) (string, error) {
	goldie.New(w.t).Assert(w.t, args[0], []byte(w.transcript.normal()))
	return "", nil
}
