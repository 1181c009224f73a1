// Package platform serves the emulated log and directory of instances of "hibiscuslane serve" at one address.
// It is unrelated to the package platform at the module root, which is the client that "hibiscuslane run" uses.
package platform

import (
	"context"
	"net/http"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/standin/directory"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/timer"
)

// Options describe a platform. The zero value keeps all records and listens on a free port.
type Options struct {
	// Address is the address to listen on; empty means a free port of the loopback interface.
	Address   string
	Retention appendlog.Retention
	// Lag is the delay after which the list of instances shows a change.
	Lag   time.Duration
	Timer *timer.Service
}

// Faults are the faults that can be injected into connections to the platform.
type Faults struct {
	// Silent drops all bytes of the connections that exist when it is set. SilenceAll is refused,
	// because it would also cut off the call that clears it.
	Silent socket.Silence `json:"silent"`
}

// Server is an emulated platform.
type Server struct {
	Log       *appendlog.Log
	Directory *directory.Directory
	listener  *socket.Listener
	mux       *http.ServeMux
}

// Start starts a platform.
func Start(options Options) (*Server, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	listener, err := socket.Listen(options.Address, 0)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Log:       appendlog.New(options.Retention, options.Timer),
		Directory: directory.New(options.Lag, options.Timer),
		listener:  listener,
		mux:       http.NewServeMux(),
	}
	s.Log.RegisterHandlers(s.mux)
	s.Directory.RegisterHandlers(s.mux)
	listener.Serve(s.mux)
	return s, nil
}

// Handle adds a handler to those of the platform.
func (s *Server) Handle(pattern string, handler http.HandlerFunc) {
	s.mux.HandleFunc(pattern, handler)
}

// URL returns the base URL of the platform.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close aborts all waiting calls and closes the listener.
func (s *Server) Close() error {
	s.Log.Close()
	return s.listener.Close()
}

// PatchFaults silences the connections that the JSON object selects, except the one that carries the
// request of ctx.
func (s *Server) PatchFaults(ctx context.Context, data []byte) error {
	var f Faults
	if err := reply.DecodeStrict("fault of the platform", data, &f); err != nil {
		return err
	}
	if f.Silent == socket.SilenceAll {
		return reply.Invalid("fault of the platform", "silent must be established")
	}
	s.listener.Silence(ctx, f.Silent)
	return nil
}
