package scenario

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/sebdah/goldie/v2"
)

// transcript records the commands and outputs of a session as an operator sees them.
type transcript struct {
	text strings.Builder
	// names maps addresses and paths that differ between runs to stable names.
	names map[string]string
}

func (t *transcript) add(command, output string) {
	t.text.WriteString("> " + command + "\n" + output)
}

// variableParts are the patterns of output that differs between runs, with their replacements.
var variableParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	// Which entry manages the workers of a pool depends on which peers it has received messages from by then.
	{regexp.MustCompile(`(?m)^(TIME job/\d+ (?:place|start|finish) applied by )"entry-\d+"`), `$1"entry-N"`},
	// Which entry admits which instance to which pool depends on the order of their requests.
	{regexp.MustCompile(`(?m)^TIME fleet/\d+ admit .*\n(  .*\n)*`), ""},
	{regexp.MustCompile(`\b(alpha|beta|gamma)-(target|worker)-\d+`), "$2-N"},
	{regexp.MustCompile(`(?m)^((?:claim|fleet|job)(?:\.snapshot)?) +\d+$`), "$1 OFFSET"},
	{regexp.MustCompile(`(?m)^(entry-\d+ .*) +\d+$`), "$1 SILENCE"},
	{regexp.MustCompile(`(?m) +$`), ""},
}

// idPattern matches request and job ids.
var idPattern = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// normalized returns the transcript with stable names in place of what varies between runs.
func (t *transcript) normalized() string {
	text := t.text.String()
	for address, name := range t.names {
		text = strings.ReplaceAll(text, address, name)
	}
	for _, part := range variableParts {
		text = part.pattern.ReplaceAllString(text, part.replacement)
	}
	// Ids are numbered in the order in which they appear, so that a repeated answer shows the same id.
	ids := map[string]string{}
	return idPattern.ReplaceAllStringFunc(text, func(found string) string {
		if ids[found] == "" {
			ids[found] = fmt.Sprint("id-", len(ids)+1)
		}
		return ids[found]
	})
}

// checkGolden compares the transcript with the golden file NAME.golden. The flag -update rewrites the file.
func (env *testEnv) checkGolden(args []string) (string, error) {
	goldie.New(env.t).Assert(env.t, args[0], []byte(env.transcript.normalized()))
	return "", nil
}
