package request_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"hibiscuslane.example/hibiscuslane/request"
)

// BenchmarkRequest measures the allocations of the chain for a request without a key.
func BenchmarkRequest(b *testing.B) {
	t := &target{}
	e := newEntry(&memoryLog{}, t, 1, nil)
	defer e.kill()
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest("POST", "/b", strings.NewReader("body"))
		r.Header.Set(request.HeaderTeam, "red")
		e.handler.ServeHTTP(httptest.NewRecorder(), r)
	}
}

// BenchmarkHarness measures what BenchmarkRequest spends on its own request and recorder.
func BenchmarkHarness(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest("POST", "/b", strings.NewReader("body"))
		r.Header.Set(request.HeaderTeam, "red")
		w := httptest.NewRecorder()
		w.WriteHeader(200)
		_, _ = w.Write([]byte("done body"))
	}
}
