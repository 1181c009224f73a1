package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// WriteJSON writes the entries as JSON, one per line.
func WriteJSON(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return &WriteError{Cause: err}
		}
	}
	return nil
}

// WriteText writes the entries as text: a line for each record, followed by a line for each object and each
// change. Texts that come from authors are quoted, so that they cannot imitate other entries.
func WriteText(w io.Writer, entries []Entry) error {
	buffer := bufio.NewWriter(w)
	for _, entry := range entries {
		writeEntry(buffer, entry)
	}
	if err := buffer.Flush(); err != nil {
		return &WriteError{Cause: err}
	}
	return nil
}

// writeEntry ignores write errors, because Flush of bufio.Writer returns the first one.
func writeEntry(w *bufio.Writer, entry Entry) {
	_, _ = fmt.Fprintf(w, "%s %s/%d %s %s by %q", entry.Time.Format(time.RFC3339), entry.Stream, entry.Offset, entry.Kind, entry.Verdict, string(entry.Author))
	if entry.Reason != "" {
		_, _ = fmt.Fprintf(w, " for %q", entry.Reason)
	}
	if entry.RejectionReason != "" {
		_, _ = fmt.Fprintf(w, " because %q", entry.RejectionReason)
	}
	_, _ = fmt.Fprintln(w)
	for _, object := range entry.Objects {
		writeObject(w, object)
	}
}

func writeObject(w *bufio.Writer, object Object) {
	from := fmt.Sprintf("from version %d", object.BaseVersion)
	if object.BaseVersion < 0 {
		from = "new"
	}
	_, _ = fmt.Fprintf(w, "  %q %s\n", object.Name, from)
	for _, change := range object.Changes {
		_, _ = fmt.Fprintf(w, "    %s\n", change)
	}
	if object.OmittedChanges > 0 {
		_, _ = fmt.Fprintf(w, "    and %d more\n", object.OmittedChanges)
	}
}
