package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// WriteJSON writes one entry per line as JSON.
func WriteJSON(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return &WriteError{Cause: err}
		}
	}
	return nil
}

// WriteText writes the entries for people: a line per record, and below it a line per object and per
// change. Texts that authors chose are quoted, so that they cannot look like other entries.
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

// writeEntry ignores write errors, because a bufio.Writer reports the first one on Flush.
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
