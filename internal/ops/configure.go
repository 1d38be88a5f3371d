package ops

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"
)

// maxChangeBytes is the maximum size of a submitted configuration change.
const maxChangeBytes = 8 << 10

// Refusal is an error that determines the HTTP status of the response.
type Refusal struct {
	Status int
	Reason error
}

// Error returns the text of the reason.
func (r *Refusal) Error() string { return r.Reason.Error() }

// Unwrap returns the reason for errors.Is and errors.As.
func (r *Refusal) Unwrap() error { return r.Reason }

// configurationHandler returns the handler of POST /ops/fleet/configuration.
func configurationHandler(relay Relay) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		change, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
		if err != nil {
			writeText(w, http.StatusBadRequest, "the change was not read: "+oneLine(err)+"\n")
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(answerTimeout))
		defer cancel()
		err = relay.Configure(ctx, change)
		if err == nil {
			slog.Info("fleet configuration changed by an operator")
			writeText(w, http.StatusOK, "stored and in force\n")
			return
		}
		slog.Warn("fleet configuration change not taken", "err", err)
		writeText(w, statusOf(err), oneLine(err)+"\n")
	}
}

// statusOf returns the HTTP status for an error of Relay.Configure: that of a Refusal, otherwise 503.
func statusOf(err error) int {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Status
	}
	return http.StatusServiceUnavailable
}

// oneLine returns the text of an error without line breaks.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
