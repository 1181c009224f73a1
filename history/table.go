package history

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tableGap is the number of blanks between two columns.
const tableGap = 2

// Print prints a history as a table: a row for each event, and a column for callers, the operator with the platform, and each worker.
// The events that show a violation are marked, and the violations follow.
func Print(w io.Writer, events []Event, violations []Violation) error {
	columns := []string{"callers", "operator", "faults"}
	for _, e := range events {
		if c := e.column(); !slices.Contains(columns, c) {
			columns = append(columns, c)
		}
	}
	slices.Sort(columns[3:])
	marked := map[int]bool{}
	for _, v := range violations {
		for _, i := range v.Events {
			marked[i] = true
		}
	}
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, tableGap, ' ', 0)
	_, _ = fmt.Fprintf(table, "\tms\t%s\t\n", strings.Join(columns, "\t")) // a buffer takes everything
	for i, e := range events {
		cells := make([]string, len(columns))
		cells[slices.Index(columns, e.column())] = e.cell()
		mark := ""
		if marked[i] {
			mark = "*"
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t\n", mark, e.At, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
	for line := range strings.Lines(text.String()) {
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " \n")); err != nil {
			return err
		}
	}
	for _, v := range violations {
		if _, err := fmt.Fprintf(w, "%s: %s\n", v.Rule, v.Text); err != nil {
			return err
		}
	}
	return nil
}

// column returns the column of the table to which the event belongs.
func (e Event) column() string {
	switch {
	case e.isCall(), e.Kind == KindAnswer:
		return "callers"
	case e.Process == ProcessOperator, e.Process == ProcessPlatform:
		return "operator"
	case e.Kind == KindFault:
		return "faults"
	}
	return string(e.Process)
}

// cell returns what the table shows of the event.
func (e Event) cell() string {
	if e.column() == "callers" {
		return string(e.Process) + ": " + e.describe()
	}
	if e.Kind == KindFault {
		return e.Text
	}
	return e.describe()
}
