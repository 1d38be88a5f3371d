package flow

import (
	"math"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

// appendCall encodes the call of a flow; now is when it is written.
func appendCall(dst []byte, f *traffic.Flow, now time.Time) []byte {
	fields := []http1.Field{{Name: "X-Correlation-Id", Value: f.ID}}
	if f.Key != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: f.Key})
	}
	timeLeftMillis := max(f.Deadline.Sub(now).Milliseconds(), 1)
	fields = append(fields, http1.Field{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(timeLeftMillis, 10)})
	return http1.AppendRequest(dst, "POST", "/hook", f.Member, fields, f.Body)
}

// answer is what a pool member said, decoded once. Status 0 means that it said nothing that counts.
type answer struct {
	status     int
	noSlot     bool
	retryAfter time.Duration
	report     *traffic.Report

	batch    bool                          // the call carried several
	statuses map[string]traffic.FlowStatus // how each of them ended, where the answer tells them apart
}

// decodeAnswer reads an answer, whole or spoilt. A 200 counts from its first line on: the message is delivered
// then, whatever becomes of the rest. Of any other answer that is not whole, nothing is to be believed: the call
// may have run, also where a 503 seems to deny it. Where a call carried several, a 200 counts when it is whole, too.
func decodeAnswer(r *http1.Response, several bool) answer {
	if !r.Done() && (r.Status != 200 || several) {
		return answer{}
	}
	a := answer{batch: several, status: r.Status, noSlot: r.Header("X-No-Slot") == "1"}
	if r.HeadDone() {
		a.report = parseReport(r.Header("X-Backend-Load"))
	}
	if ms, err := strconv.ParseFloat(r.Header("X-Retry-In-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
		a.retryAfter = time.Duration(math.Ceil(ms)) * time.Millisecond
	}
	if several && a.status == 200 {
		a.statuses = decodeBatchAnswer(r.Body)
	}
	return a
}

// maxReportValue is the highest limit that is believed, in calls a second.
const maxReportValue = 1e6

// parseReport reads "x0=0.4,x1=25"; nil where either is missing, told twice, or no figure that could be.
func parseReport(text string) *traffic.Report {
	var rep traffic.Report
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		field := map[string]*float64{"x0": &rep.Left, "x1": &rep.Limit}[name]
		if field == nil {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= maxReportValue) || seen[name] {
			return nil
		}
		*field, seen[name] = x, true
	}
	if len(seen) < 2 {
		return nil
	}
	return &rep
}

// applyTo maps an answer to the end of its flow, by the protocol's table.
func (a answer) applyTo(end traffic.FlowEnd) traffic.FlowEnd {
	end.Report = a.report
	switch {
	case a.status == 200:
		end.Status = traffic.Delivered
		if a.batch {
			end.Wait = a.retryAfter // it binds as any
		}
	case a.status == 429:
		end.Status, end.Wait = traffic.TurnedAway, a.retryAfter
	case a.status == 503 && a.noSlot:
		end.Status = traffic.NoSlot
	case a.status == 503:
		end.Status, end.Wait = traffic.TurnedAway, a.retryAfter
	case a.status == 504:
		end.Status = traffic.Spent
	case a.status == 410:
		end.Status = traffic.Over
	case a.batch && (a.status == 400 || a.status == 413):
		end.Status = traffic.Unsent // none of them has run
	default:
		end.Status = traffic.Errored
	}
	return end
}
