// Package ops serves the operators' address: readiness, the figures, and endpoints taken down and brought up.
// It is net/http's server with deadlines, one call per connection; its handlers read what the step loop has
// published and never wait for the step loop longer than their answer can afford.
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

// Every answer is due within a second of the call: the deadlines leave room for the write.
const (
	headerTimeout = 400 * time.Millisecond // a caller that sends nothing or half a call holds a descriptor so long
	answerTimeout = 800 * time.Millisecond // a handler that waits for the step loop gives up then
	writeTimeout  = 900 * time.Millisecond
)

// Stats are the figures of /ops/stats, counted from the start of the process.
type Stats struct {
	Success         map[string]int64 `json:"success"`
	Overload        map[string]int64 `json:"overload"`
	Error           map[string]int64 `json:"error"`
	Dispatches      int64            `json:"dispatches"`
	Concurrent      int              `json:"concurrent"`
	Targets         int              `json:"targets"`
	TargetsDisabled int              `json:"targets_disabled"`
	Fleet           any              `json:"fleet,omitempty"` // of a relay that takes part in one
}

// ErrUnknown is what Maintenance returns for an endpoint that the pool does not name.
var ErrUnknown = errors.New("no such endpoint")

// Relay is what the address asks. Nothing of it blocks but Configure and Maintain, which end by ctx.
type Relay interface {
	Ready() bool
	Stats() Stats
	// Fleet is what is known of the fleet, by name: members or verdicts; nil where there is no such thing.
	Fleet(what string) any
	// Configure hands in a signed change of the fleet's configuration, as JSON, and returns when it is kept and in force here.
	// An error that is a Refusal says why not.
	Configure(ctx context.Context, change []byte) error
	// Maintain takes an endpoint down (no more new sending) or brings it up, and returns once that holds.
	Maintain(ctx context.Context, id string, down bool) error
}

// Server is the operators' address.
type Server struct {
	http *http.Server
	ln   net.Listener
}

// Listen opens the address.
func Listen(addr string, relay Relay) (*Server, error) {
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
		if value := relay.Fleet(r.PathValue("what")); value != nil {
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
			case errors.Is(err, ErrUnknown):
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
	s := &Server{ln: ln, http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s, nil
}

func writeJSON(w http.ResponseWriter, x any) {
	body, err := json.Marshal(x)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error()+"\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeText(w, http.StatusOK, string(body)+"\n")
}

func writeText(w http.ResponseWriter, code int, body string) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(body))
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the address and its calls.
func (s *Server) Close() error { return s.http.Close() }
