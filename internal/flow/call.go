package flow

import (
	"math"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/flow/http1"
	"slatemux/internal/traffic"
)

// appendCall encodes the call of a flow. now is the time of writing.
func appendCall(dst []byte, f *traffic.Flow, now time.Time) []byte {
	fields := []http1.Field{{Name: "X-Correlation-Id", Value: f.ID}}
	if f.Key != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: f.Key})
	}
	timeLeftMillis := max(f.Deadline.Sub(now).Milliseconds(), 1)
	fields = append(fields, http1.Field{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(timeLeftMillis, 10)})
	return http1.AppendRequest(dst, "POST", "/hook", f.Member, fields, f.Body)
}

// answer is the decoded answer of a pool member. Status 0 means that there is no valid answer.
type answer struct {
	status     int
	noSlot     bool
	retryAfter time.Duration
	report     *traffic.Report

	batch    bool                          // the call was a batch
	statuses map[string]traffic.FlowStatus // end of each transaction of a batch, if the answer states it
}

// decodeAnswer decodes a complete, truncated or corrupt answer. A 200 counts from its status line on: the message is then delivered,
// whatever happens to the rest. Any other incomplete answer is ignored: the call may have run, even if a 503 seems to say otherwise. A 200
// to a batch also counts only if it is complete.
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

// maxReportValue is the highest plausible value of a load report, whose limit is in calls per second.
const maxReportValue = 1e6

// parseReport parses a load report such as "x0=0.4,x1=25". It returns nil if either value is missing, repeated or implausible.
func parseReport(text string) *traffic.Report {
	var rep traffic.Report
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		field := map[string]*float64{"x0": &rep.Remaining, "x1": &rep.Limit}[name]
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

// applyTo sets the end of the flow from the answer, as the protocol defines it.
func (a answer) applyTo(end traffic.FlowEnd) traffic.FlowEnd {
	end.Report = a.report
	switch {
	case a.status == 200:
		end.Status = traffic.Delivered
		if a.batch {
			end.RetryAfter = a.retryAfter // this retry-after binds like any other
		}
	case a.status == 429:
		end.Status, end.RetryAfter = traffic.FlowRefused, a.retryAfter
	case a.status == 503 && a.noSlot:
		end.Status = traffic.NoSlot
	case a.status == 503:
		end.Status, end.RetryAfter = traffic.FlowRefused, a.retryAfter
	case a.status == 504:
		end.Status = traffic.AttemptsExhausted
	case a.status == 410:
		end.Status = traffic.AlreadyEnded
	case a.batch && (a.status == 400 || a.status == 413):
		end.Status = traffic.Unsent // no transaction of the batch has run
	default:
		end.Status = traffic.Errored
	}
	return end
}

// requestedWait returns the retry-after that the answer carries, or 0 if it carries none that binds.
func (a answer) requestedWait() time.Duration { return a.applyTo(traffic.FlowEnd{}).RetryAfter }
