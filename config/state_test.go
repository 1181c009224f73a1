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

// TestVersions guards against publishes that overwrite a change their author has not seen.
func TestVersions(t *testing.T) {
	l := small(t)
	first, verdict := l.publish("ben", set("site/alpha", 0, overlay(5)))
	require.Equal(t, stream.Applied, verdict)
	_, verdict = l.publish("cyd", set("site/alpha", 0, overlay(7)))
	require.Equal(t, stream.ResultStale, verdict.Result)
	require.Contains(t, verdict.Reason, `has version 1 by "ben"`)
	_, verdict = l.publish("cyd", set("site/beta", 0, overlay(7)), set("site/alpha", 0, overlay(7)))
	require.Equal(t, stream.ResultStale, verdict.Result, "one stale file makes the whole publish stale")

	alpha, _ := l.Settings("alpha")
	require.Equal(t, 5, alpha.Pools["web"].Size.Targets)
	beta, _ := l.File("site/beta")
	require.Equal(t, record.Offset(0), beta.Version)
	require.Equal(t, first, l.Version())
}

// TestConflict guards against a lost race that hides what the other operator changed.
func TestConflict(t *testing.T) {
	l := small(t)
	l.publish("ben", set("site/alpha", 0, overlay(5)))
	err := l.CheckConflicts(config.Publish{Files: []config.FileChange{set("site/alpha", 0, overlay(7))}})
	require.True(t, config.IsConflictError(err))
	require.ErrorContains(t, err, "/pools/web/size/targets 2 -> 5")
}

// TestRemove guards against a version that survives the removal of its file, and against a conflict that
// does not tell who removed it.
func TestRemove(t *testing.T) {
	l := small(t)
	_, verdict := l.publish("ada", set("site/gamma", 0, "null"))
	require.Equal(t, stream.Applied, verdict)
	require.Len(t, l.Sites(), 2)
	_, verdict = l.publish("ben", set("site/gamma", 0, overlay(2)))
	require.Equal(t, stream.ResultStale, verdict.Result)
	require.Contains(t, verdict.Reason, `was removed by "ada"`)
	_, verdict = l.publish("ada", set("site/gamma", -1, overlay(2)))
	require.Equal(t, stream.Applied, verdict)
	require.Len(t, l.Sites(), 3)
}

// TestInvalidNeverInForce guards against records that change the state although they are invalid.
func TestInvalidNeverInForce(t *testing.T) {
	cases := map[string]string{
		"kind":               `{}`,
		"no file":            `{"files":[],"reason":""}`,
		"unknown key":        `{"files":[{"name":"base","based":0,"content":{}}],"reason":"","force":true}`,
		"version missing":    `{"files":[{"name":"site/alpha","content":` + overlay(3) + `}],"reason":""}`,
		"content missing":    `{"files":[{"name":"site/alpha","based":0}],"reason":""}`,
		"name":               `{"files":[{"name":"site/../x","based":-1,"content":{}}],"reason":""}`,
		"twice":              `{"files":[{"name":"site/alpha","based":0,"content":null},{"name":"site/alpha","based":0,"content":null}],"reason":""}`,
		"base removed":       `{"files":[{"name":"base","based":0,"content":null}],"reason":""}`,
		"pool of route gone": `{"files":[{"name":"site/alpha","based":0,"content":{"region":"north","pools":{"web":null}}}],"reason":""}`,
		"base breaks a site": `{"files":[{"name":"base","based":0,"content":{"pools":{}}}],"reason":""}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			l := small(t)
			kind := config.KindPublish
			if name == "kind" {
				kind = "other"
			}
			before, changed := l.Files(), l.Changed()
			offset, verdict := l.fold("ada", kind, []byte(body))
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

// TestOverlayKeepsOthers guards against an overlay publish that merges every site again or signals no
// change.
func TestOverlayKeepsOthers(t *testing.T) {
	l := small(t)
	alpha, _ := l.Settings("alpha")
	beta, _ := l.Settings("beta")
	base, _ := l.File(config.BaseFile)
	changed, generation := l.Changed(), l.Generation()
	l.publish("ada", set("site/alpha", 0, overlay(4)))
	<-changed
	require.Equal(t, generation+1, l.Generation())
	again, _ := l.Settings("beta")
	require.Same(t, beta, again)
	after, _ := l.File(config.BaseFile)
	require.Equal(t, base, after)
	require.Equal(t, 2, alpha.Pools["web"].Size.Targets, "settings that were handed out never change")
}

// TestReadersDuringFold guards against readers that see a fold half done or race with it.
func TestReadersDuringFold(t *testing.T) {
	l := small(t)
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
		l.publish("ada", set("site/alpha", file.Version, overlay(i)))
		l.publish("ada", set("site/alpha", 0, overlay(i)))
	}
	close(stop)
	readers.Wait()
}

// TestVerdictBound guards against verdicts that carry a fault for every pool, of which followers keep
// thousands.
func TestVerdictBound(t *testing.T) {
	files := large()
	broken := bytes.ReplaceAll(files[0].Data, []byte(`"queue":256`), []byte(`"queue":-1`))
	l := &log{}
	_, verdict := l.publish("ada", set(config.BaseFile, -1, string(broken)))
	require.Equal(t, stream.ResultInvalid, verdict.Result)
	require.LessOrEqual(t, len(verdict.Reason), 1024)
}

// TestTrailBounds guards against a trail that grows without end, and against rejected publishes that
// displace accepted ones.
func TestTrailBounds(t *testing.T) {
	l := small(t)
	for range 300 {
		l.fold("ada", config.KindPublish, []byte(`{}`))
	}
	trail := l.Trail()
	require.Len(t, trail, 129)
	require.Equal(t, record.Offset(0), trail[0].Offset)
}

// TestUnencodableTime guards against a record whose time, valid in its own zone, lies in the year 10000
// in UTC and would make all later snapshots fail.
func TestUnencodableTime(t *testing.T) {
	l := small(t)
	var at time.Time
	require.NoError(t, json.Unmarshal([]byte(`"9999-12-31T23:59:59-10:00"`), &at))
	body := encode(config.Publish{Files: []config.FileChange{set("site/alpha", 0, overlay(4))}})
	l.Fold(1, record.Envelope{Kind: config.KindPublish, Time: at, Body: body})
	_, err := l.Snapshot()
	require.NoError(t, err)
}

// TestSnapshot guards against digests that depend on anything but the records: key order, white space,
// number notation of files, map order, a snapshot and restore on the way, or pools that are taken over
// from the previous merge.
func TestSnapshot(t *testing.T) {
	files := example(t, "small")
	rapid.Check(t, func(r *rapid.T) {
		one, two := &log{}, &log{}
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
				based := record.Offset(rapid.IntRange(-1, int(one.next)).Draw(r, "based"))
				if present, ok := one.File(file.Name); ok && rapid.Bool().Draw(r, "current") {
					based = present.Version
				}
				changes = append(changes, set(file.Name, based, content))
			}
			_, first := one.publish("ada", changes...)
			_, second := two.publish("ada", changes...)
			require.Equal(r, first, second)
			require.Equal(r, one.Digest(), two.Digest())
			data, err := two.Snapshot()
			require.NoError(r, err)
			restored := &log{next: two.next}
			require.NoError(r, restored.Restore(data))
			require.Equal(r, one.Digest(), restored.Digest())
			require.Equal(r, one.AllSettings(), restored.AllSettings())
			two = restored
		}
	})
}

// TestRestoreInvalid guards against a snapshot that puts invalid settings in force.
func TestRestoreInvalid(t *testing.T) {
	l := small(t)
	digest := l.Digest()
	data, err := l.Snapshot()
	require.NoError(t, err)
	broken := strings.Replace(string(data), `"slots":8`, `"slots":0`, 1)
	require.True(t, config.IsCheckError(l.Restore([]byte(broken))))
	require.Error(t, l.Restore([]byte(`{"files":`)))
	require.Equal(t, digest, l.Digest())
}

func FuzzPublish(f *testing.F) {
	f.Add([]byte(`{"files":[{"name":"site/alpha","based":0,"content":` + overlay(3) + `}],"reason":"r"}`))
	f.Add([]byte(`{"files":[{"name":"site/alpha","based":0,"content":null}],"reason":"r"}`))
	f.Add([]byte(`{"files":[{"name":"base","based":0,"content":{"a":1e999999999}}]}`))
	f.Add([]byte(`{"files":[{"name":"base","based":-1,"content":[[[[]]]]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, twin := small(t), small(t)
		_, verdict := l.fold("ada", config.KindPublish, body)
		twin.fold("ada", config.KindPublish, body)
		require.Equal(t, l.Digest(), twin.Digest())
		data, err := l.Snapshot()
		require.NoError(t, err)
		restored := &log{}
		require.NoError(t, restored.Restore(data))
		require.Equal(t, l.Digest(), restored.Digest())
		require.Equal(t, verdict.Result == stream.ResultApplied, l.Version() == 1)
	})
}
