// Package ops serves the admin endpoint: readiness, metrics, the fleet's state and configuration, and taking endpoints down and
// up. It uses the server of net/http with deadlines and one call per connection. Handlers read what the step loop has published.
// If a handler has to wait for the step loop, it waits no longer than answerTimeout.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"
)

// Every call must be answered within a second. The timeouts leave time to write the response.
const (
	headerTimeout = 400 * time.Millisecond // limits how long a client with a missing or incomplete request occupies a file descriptor
	answerTimeout = 800 * time.Millisecond // limits how long a handler waits for the step loop
	writeTimeout  = 900 * time.Millisecond
)

// Stats is the response of /ops/stats. Counts begin at the start of the process.
type Stats struct {
	Success         map[string]int64 `json:"success"`
	Overload        map[string]int64 `json:"overload"`
	Error           map[string]int64 `json:"error"`
	Dispatches      int64            `json:"dispatches"`
	Concurrent      int              `json:"concurrent"`
	Targets         int              `json:"targets"`
	TargetsDisabled int              `json:"targets_disabled"`
	Fleet           any              `json:"fleet,omitempty"` // nil if the relay takes part in no fleet
}

// ErrUnknownEndpoint is the error that Relay.Maintain returns for an endpoint that is not in the pool.
var ErrUnknownEndpoint = errors.New("no such endpoint")

// Relay is the part of the relay that the admin endpoint uses. Configure and Maintain may block until ctx ends; the other methods
// do not block.
type Relay interface {
	// Ready reports whether the relay is ready for clients.
	Ready() bool
	// Stats returns the current counters.
	Stats() Stats
	// FleetState returns a part of the fleet's state by name: members, verdicts, limits or configuration. It returns nil if there is no
	// such part, the relay takes part in no fleet, or it is not ready.
	FleetState(what string) any
	// Configure submits a signed change of the fleet's configuration as JSON. It returns once this relay has stored and applied
	// the change. An error of type *Refusal holds the reason and the HTTP status of a refused change.
	Configure(ctx context.Context, change []byte) error
	// Maintain takes an endpoint down, so that it gets no new calls, or brings it up again. It returns once this is in effect.
	Maintain(ctx context.Context, id string, down bool) error
}

// Server is the HTTP server of the admin endpoint.
type Server struct {
	http *http.Server
	ln   net.Listener
}

// Listen opens the listening socket on addr for at most maxConns connections at a time. Serve then answers the calls.
func Listen(addr string, relay Relay, maxConns int) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if relay.Ready() {
			writeText(w, http.StatusOK, "ready\n")
		} else {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
		}
	})
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, relay.Stats()) })
	mux.HandleFunc("GET /ops/fleet/{what}", func(w http.ResponseWriter, r *http.Request) {
		if value := relay.FleetState(r.PathValue("what")); value != nil {
			writeJSON(w, value)
		} else {
			writeText(w, http.StatusNotFound, "this relay takes no part in a fleet, or there is nothing of that name\n")
		}
	})
	maintenanceHandler := func(down bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.PathValue("id")
			if id == "" || strings.ContainsAny(id, "/ \t") {
				writeText(w, http.StatusBadRequest, "an endpoint's id is wanted\n")
				return
			}
			ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(answerTimeout))
			defer cancel()
			switch err := relay.Maintain(ctx, id, down); {
			case errors.Is(err, ErrUnknownEndpoint):
				writeText(w, http.StatusNotFound, "no such endpoint: "+id+"\n")
			case err != nil:
				slog.Warn("maintenance not done", "endpoint", id, "down", down, "err", err)
				writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			default:
				slog.Info("maintenance", "endpoint", id, "down", down)
				writeText(w, http.StatusOK, "done\n")
			}
		}
	}
	mux.HandleFunc("POST /ops/fleet/configuration", configurationHandler(relay))
	mux.HandleFunc("POST /ops/endpoints/down/{id}", maintenanceHandler(true))
	mux.HandleFunc("POST /ops/endpoints/up/{id}", maintenanceHandler(false))
	s := &Server{ln: newGate(ln, maxConns), http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s, nil
}

// writeJSON responds with status 200 and x as JSON.
func writeJSON(w http.ResponseWriter, x any) {
	body, err := json.Marshal(x)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error()+"\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeText(w, http.StatusOK, string(body)+"\n")
}

// writeText responds with a status and a body, and asks the client to close the connection.
func writeText(w http.ResponseWriter, code int, body string) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(body))
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listening socket and all connections.
func (s *Server) Close() error { return errors.Join(s.http.Close(), ignoreClosed(s.ln.Close())) }

// ignoreClosed returns nil if a listener was closed before.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
