// Package platform serves the emulated log, list of instances and control at one address.
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

// Options describe a platform. The zero value keeps all records and listens at a free port.
type Options struct {
	// Address is the address to listen at; empty means a free port on loopback.
	Address   string
	Retention appendlog.Retention
	// Lag is the age of the list of instances.
	Lag   time.Duration
	Timer *timer.Service
}

// Faults are the fault switches of the connections to the platform.
type Faults struct {
	// Silent drops all bytes of the connections that exist when it is set. SilenceAll is refused,
	// because it would also cut off the call that ends it.
	Silent socket.Silence `json:"silent"`
}

// Server is an emulated platform.
type Server struct {
	Log       *appendlog.Log
	Directory *directory.Directory
	listener  *socket.Listener
	mux       *http.ServeMux
}

// Start opens the address of a platform.
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

// Handle adds a call to those of the platform.
func (s *Server) Handle(pattern string, handler http.HandlerFunc) {
	s.mux.HandleFunc(pattern, handler)
}

// URL returns the base URL of the platform.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close ends all waiting calls and closes the address.
func (s *Server) Close() error {
	s.Log.Close()
	return s.listener.Close()
}

// PatchFaults silences connections as the JSON object says, except the one that carries the request of ctx.
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
