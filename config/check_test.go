package config_test

import (
	"encoding/json"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/config"
)

// TestExamples guards against example configurations that do not pass the check.
func TestExamples(t *testing.T) {
	for _, name := range []string{"small", "association", "authority"} {
		require.NoError(t, config.Check(readExample(t, name)), name)
	}
}

// TestCheckReport guards against a check that stops at the first fault, and against faults that are
// reported under the wrong file or pointer.
func TestCheckReport(t *testing.T) {
	files := []config.FileContent{
		{Name: config.BaseFile, Data: mustReadFile(t, "testdata/faulty/base.json")},
		{Name: "site/east", Data: mustReadFile(t, "testdata/faulty/site/east.json")},
		{Name: "site/west", Data: mustReadFile(t, "testdata/faulty/site/west.json")},
		{Name: "site/syntax", Data: []byte(`{"region":"north",`)},
		{Name: "site/repeat", Data: []byte(`{"region":"a","region":"b","pools":{"web":{"slots":1e9}}}`)},
	}
	err := config.Check(files)
	require.True(t, config.IsCheckError(err))
	goldie.New(t).Assert(t, "faulty", []byte(err.Error()+"\n"))
}

// TestMissingBase guards against overlays that are accepted without a base file.
func TestMissingBase(t *testing.T) {
	require.ErrorContains(t, config.Check([]config.FileContent{{Name: "site/alpha", Data: []byte(`{}`)}}), "base#: is missing")
}

// TestMergePatch guards against differences between the merge patch library and RFC 7386. The generated
// objects contain no arrays of objects, because the library drops nulls inside them. The schema allows
// no null there.
func TestMergePatch(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		target, patch := drawObject(r, 3), drawObject(r, 3)
		got, err := jsonpatch.MergePatch(mustEncode(target), mustEncode(patch))
		require.NoError(r, err)
		require.JSONEq(r, string(mustEncode(referenceMergePatch(target, patch))), string(got))
	})
}

func drawObject(r *rapid.T, depth int) map[string]any {
	tree := map[string]any{}
	for range rapid.IntRange(0, 3).Draw(r, "keys") {
		key := rapid.SampledFrom([]string{"a", "b", "", "~/"}).Draw(r, "key")
		switch rapid.IntRange(0, 4).Draw(r, "kind") {
		case 0:
			tree[key] = nil
		case 1:
			tree[key] = "text"
		case 2:
			tree[key] = []any{1, "x"}
		case 3:
			tree[key] = json.Number("1")
		default:
			if depth > 0 {
				tree[key] = drawObject(r, depth-1)
			}
		}
	}
	return tree
}

// referenceMergePatch implements the MergePatch function of RFC 7386, section 2.
func referenceMergePatch(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	old, _ := target.(map[string]any)
	merged := map[string]any{}
	for key, value := range old {
		merged[key] = value
	}
	for key, value := range changes {
		if value == nil {
			delete(merged, key)
			continue
		}
		merged[key] = referenceMergePatch(merged[key], value)
	}
	return merged
}

// TestDiff guards against a preview whose difference lacks a change.
func TestDiff(t *testing.T) {
	l := newSmallExample(t)
	base, _ := l.File(config.BaseFile)
	var content map[string]any
	require.NoError(t, json.Unmarshal(base.Content, &content))
	content["weights"].(map[string]any)["moves"] = 9
	difference, err := l.Preview(config.Publish{Files: []config.FileChange{
		{Name: config.BaseFile, BaseVersion: 0, Content: mustEncode(content)},
		newChange("site/alpha", 0, overlayContent(4)),
		newChange("site/gamma", 0, "null"),
		newChange("site/delta", -1, overlayContent(1)),
	}})
	require.NoError(t, err)
	goldie.New(t).Assert(t, "diff", []byte(difference.Text()+string(mustEncode(difference))+"\n"))
	require.Len(t, l.Sites(), 3, "a preview changes nothing")
}

// FuzzCheck guards against files that cause a panic, against faults that differ between two checks of the
// same files, and against a successful merge that lacks the settings of a site.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{}`), []byte(overlayContent(3)))
	f.Add([]byte(`{"pools":{"web":{"size":{"targets":1e999999999}}}}`), []byte(`{"pools":null}`))
	f.Add([]byte(`{"routes":[{"prefix":"/","pool":null}]}`), []byte(`{"routes":[null]}`))
	f.Add([]byte(`[]`), []byte(`null`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		files := []config.FileContent{{Name: config.BaseFile, Data: base}, {Name: "site/alpha", Data: overlay}}
		merged, err := config.Merge(files)
		if err != nil {
			require.True(t, config.IsCheckError(err))
			again := config.Check(files)
			require.Equal(t, err.Error(), again.Error())
			return
		}
		require.NotNil(t, merged["alpha"])
	})
}
