package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// TestVersions guards against a publish that is based on an outdated version of a file and overwrites
// a change that its author has not seen.
func TestVersions(t *testing.T) {
	l := newSmallExample(t)
	first, verdict := l.publish("ben", newChange("site/alpha", 0, overlayContent(5)))
	require.Equal(t, stream.Applied, verdict)
	_, verdict = l.publish("cyd", newChange("site/alpha", 0, overlayContent(7)))
	require.Equal(t, stream.ResultStale, verdict.Result)
	require.Contains(t, verdict.Reason, `has version 1 by "ben"`)
	_, verdict = l.publish("cyd", newChange("site/beta", 0, overlayContent(7)), newChange("site/alpha", 0, overlayContent(7)))
	require.Equal(t, stream.ResultStale, verdict.Result, "one stale file makes the whole publish stale")

	alpha, _ := l.Settings("alpha")
	require.Equal(t, 5, alpha.Pools["web"].Size.Targets)
	beta, _ := l.File("site/beta")
	require.Equal(t, record.Offset(0), beta.Version)
	require.Equal(t, first, l.Version())
}

// TestConflict guards against a conflict error that does not show what the other operator changed.
func TestConflict(t *testing.T) {
	l := newSmallExample(t)
	l.publish("ben", newChange("site/alpha", 0, overlayContent(5)))
	err := l.CheckConflicts(config.Publish{Files: []config.FileChange{newChange("site/alpha", 0, overlayContent(7))}})
	require.True(t, config.IsConflictError(err))
	require.ErrorContains(t, err, "/pools/web/size/targets 2 -> 5")
}

// TestRemove guards against a removed file that keeps its version, and against a conflict that does not
// state who removed the file.
func TestRemove(t *testing.T) {
	l := newSmallExample(t)
	_, verdict := l.publish("ada", newChange("site/gamma", 0, "null"))
	require.Equal(t, stream.Applied, verdict)
	require.Len(t, l.Sites(), 2)
	_, verdict = l.publish("ben", newChange("site/gamma", 0, overlayContent(2)))
	require.Equal(t, stream.ResultStale, verdict.Result)
	require.Contains(t, verdict.Reason, `was removed by "ada"`)
	_, verdict = l.publish("ada", newChange("site/gamma", -1, overlayContent(2)))
	require.Equal(t, stream.Applied, verdict)
	require.Len(t, l.Sites(), 3)
}

// TestInvalidNeverInForce guards against invalid records that change the state or signal a change.
func TestInvalidNeverInForce(t *testing.T) {
	cases := map[string]string{
		"unknown kind":          `{}`,
		"no file":               `{"files":[],"reason":""}`,
		"unknown key":           `{"files":[{"name":"base","based":0,"content":{}}],"reason":"","force":true}`,
		"version missing":       `{"files":[{"name":"site/alpha","content":` + overlayContent(3) + `}],"reason":""}`,
		"content missing":       `{"files":[{"name":"site/alpha","based":0}],"reason":""}`,
		"invalid name":          `{"files":[{"name":"site/../x","based":-1,"content":{}}],"reason":""}`,
		"file named twice":      `{"files":[{"name":"site/alpha","based":0,"content":null},{"name":"site/alpha","based":0,"content":null}],"reason":""}`,
		"base removed":          `{"files":[{"name":"base","based":0,"content":null}],"reason":""}`,
		"pool of route removed": `{"files":[{"name":"site/alpha","based":0,"content":{"region":"north","pools":{"web":null}}}],"reason":""}`,
		"base breaks a site":    `{"files":[{"name":"base","based":0,"content":{"pools":{}}}],"reason":""}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			l := newSmallExample(t)
			kind := config.KindPublish
			if name == "unknown kind" {
				kind = "other"
			}
			before, changed := l.Files(), l.Changed()
			offset, verdict := l.applyRecord("ada", kind, []byte(body))
			require.Equal(t, stream.ResultInvalid, verdict.Result, verdict.Reason)
			require.Equal(t, before, l.Files())
			require.Equal(t, record.Offset(0), l.Version())
			select {
			case <-changed:
				t.Fatal("a rejected publish signalled a change")
			default:
			}
			trail := l.Trail()
			require.Equal(t, offset, trail[len(trail)-1].Offset)
			require.NotEmpty(t, trail[len(trail)-1].RejectionReason)
		})
	}
}

// TestOverlayKeepsOthers guards against a publish of one overlay that merges every site again or does not
// signal the change.
func TestOverlayKeepsOthers(t *testing.T) {
	l := newSmallExample(t)
	alpha, _ := l.Settings("alpha")
	beta, _ := l.Settings("beta")
	base, _ := l.File(config.BaseFile)
	changed, generation := l.Changed(), l.Generation()
	l.publish("ada", newChange("site/alpha", 0, overlayContent(4)))
	<-changed
	require.Equal(t, generation+1, l.Generation())
	again, _ := l.Settings("beta")
	require.Same(t, beta, again)
	after, _ := l.File(config.BaseFile)
	require.Equal(t, base, after)
	require.Equal(t, 2, alpha.Pools["web"].Size.Targets, "settings returned earlier must not change")
}

// TestReadersDuringApply guards against data races between readers and Apply, and against readers that
// see a partially applied publish.
func TestReadersDuringApply(t *testing.T) {
	l := newSmallExample(t)
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				version, files, sites := l.Overview()
				assert.Len(t, files, len(sites)+1)
				assert.GreaterOrEqual(t, version, files[1].Version)
				assert.NotEmpty(t, l.Trail())
			}
		})
	}
	for i := range 50 {
		file, _ := l.File("site/alpha")
		l.publish("ada", newChange("site/alpha", file.Version, overlayContent(i)))
		l.publish("ada", newChange("site/alpha", 0, overlayContent(i)))
	}
	close(stop)
	readers.Wait()
}

// TestVerdictBound guards against verdicts with a fault for every pool, which would take much memory
// because followers retain thousands of verdicts.
func TestVerdictBound(t *testing.T) {
	files := generateLargeFleet()
	broken := bytes.ReplaceAll(files[0].Data, []byte(`"queue":256`), []byte(`"queue":-1`))
	l := &testLog{}
	_, verdict := l.publish("ada", newChange(config.BaseFile, -1, string(broken)))
	require.Equal(t, stream.ResultInvalid, verdict.Result)
	require.LessOrEqual(t, len(verdict.Reason), 1024)
}

// TestTrailBounds guards against an audit trail that grows without limit, and against rejected publishes
// that displace accepted ones.
func TestTrailBounds(t *testing.T) {
	l := newSmallExample(t)
	for range 300 {
		l.applyRecord("ada", config.KindPublish, []byte(`{}`))
	}
	trail := l.Trail()
	require.Len(t, trail, 129)
	require.Equal(t, record.Offset(0), trail[0].Offset)
}

// TestUnencodableTime guards against a record whose time is valid in its own time zone but lies in the
// year 10000 in UTC. Such a time cannot be encoded and would make all later snapshots fail.
func TestUnencodableTime(t *testing.T) {
	l := newSmallExample(t)
	var at time.Time
	require.NoError(t, json.Unmarshal([]byte(`"9999-12-31T23:59:59-10:00"`), &at))
	body := mustEncode(config.Publish{Files: []config.FileChange{newChange("site/alpha", 0, overlayContent(4))}})
	l.Apply(1, record.Envelope{Kind: config.KindPublish, Time: at, Body: body})
	_, err := l.Snapshot()
	require.NoError(t, err)
}

// TestSnapshot guards against digests that depend on anything but the records: on the key order, white
// space or number notation of files, on map order, on an intermediate snapshot and restore, or on
// pools that are reused from the previous merge.
func TestSnapshot(t *testing.T) {
	files := readExample(t, "small")
	rapid.Check(t, func(r *rapid.T) {
		reference, restarted := &testLog{}, &testLog{}
		for range rapid.IntRange(1, 12).Draw(r, "publishes") {
			var changes []config.FileChange
			for _, file := range files {
				if !rapid.Bool().Draw(r, "chosen") {
					continue
				}
				content := string(file.Data)
				number := rapid.IntRange(0, 9).Draw(r, "number")
				switch rapid.IntRange(0, 7).Draw(r, "content") {
				case 0:
					content = strings.Replace(content, `"targets": 2`, fmt.Sprintf(`"targets": %d.0`, number), 1)
					content = strings.Replace(content, `"queue": 256`, fmt.Sprintf(`"queue": %d`, number), number%3+1)
				case 1:
					content = "null"
				case 2:
					content = strings.Replace(content, `"spare": {`, `"spare": null, "other": {`, number%2)
				case 3:
					content = strings.Replace(content, `"region"`, fmt.Sprintf(`"teams": {"urgent": {"weight": %d}}, "region"`, number), 1)
				case 4:
					content = strings.Replace(content, `"weight": 4`, fmt.Sprintf(`"weight": %d`, number), 1)
				case 5:
					content = strings.Replace(content, `"routes": [`, fmt.Sprintf(`"routes": [{"prefix": "/%d", "pool": "web"},`, number), 1)
				}
				baseVersion := record.Offset(rapid.IntRange(-1, int(reference.next)).Draw(r, "based"))
				if present, ok := reference.File(file.Name); ok && rapid.Bool().Draw(r, "current") {
					baseVersion = present.Version
				}
				changes = append(changes, newChange(file.Name, baseVersion, content))
			}
			_, first := reference.publish("ada", changes...)
			_, second := restarted.publish("ada", changes...)
			require.Equal(r, first, second)
			require.Equal(r, reference.Digest(), restarted.Digest())
			data, err := restarted.Snapshot()
			require.NoError(r, err)
			restored := &testLog{next: restarted.next}
			require.NoError(r, restored.Restore(data))
			require.Equal(r, reference.Digest(), restored.Digest())
			require.Equal(r, reference.AllSettings(), restored.AllSettings())
			restarted = restored
		}
	})
}

// TestRestoreInvalid guards against a damaged snapshot that puts invalid settings in force.
func TestRestoreInvalid(t *testing.T) {
	l := newSmallExample(t)
	digest := l.Digest()
	data, err := l.Snapshot()
	require.NoError(t, err)
	broken := strings.Replace(string(data), `"slots":8`, `"slots":0`, 1)
	require.True(t, config.IsCheckError(l.Restore([]byte(broken))))
	require.Error(t, l.Restore([]byte(`{"files":`)))
	require.Equal(t, digest, l.Digest())
}

// FuzzPublish guards against a record body that causes a panic, leads to different states, yields a state
// whose snapshot cannot be restored, or gets a verdict that does not match the version in force.
func FuzzPublish(f *testing.F) {
	f.Add([]byte(`{"files":[{"name":"site/alpha","based":0,"content":` + overlayContent(3) + `}],"reason":"r"}`))
	f.Add([]byte(`{"files":[{"name":"site/alpha","based":0,"content":null}],"reason":"r"}`))
	f.Add([]byte(`{"files":[{"name":"base","based":0,"content":{"a":1e999999999}}]}`))
	f.Add([]byte(`{"files":[{"name":"base","based":-1,"content":[[[[]]]]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, twin := newSmallExample(t), newSmallExample(t)
		_, verdict := l.applyRecord("ada", config.KindPublish, body)
		twin.applyRecord("ada", config.KindPublish, body)
		require.Equal(t, l.Digest(), twin.Digest())
		data, err := l.Snapshot()
		require.NoError(t, err)
		restored := &testLog{}
		require.NoError(t, restored.Restore(data))
		require.Equal(t, l.Digest(), restored.Digest())
		require.Equal(t, verdict.Result == stream.ResultApplied, l.Version() == 1)
	})
}
