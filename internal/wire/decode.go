package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"slatemux/internal/dispatch"
	"slatemux/internal/settings"
)

// message is any line of the protocol. Each kind of line uses some of the fields; the tags hold the protocol's keys. A field is a
// pointer if a missing value must be distinguished from zero.
type message struct {
	Msg            string          `json:"msg"`
	ClockMillis    *float64        `json:"ts-ms"`
	Sender         string          `json:"sender-id"`
	List           *int            `json:"list"`
	Rows           *[]row          `json:"rows-in"`
	Entropy        int64           `json:"entropy"`
	Config         json.RawMessage `json:"config"`
	Form           string          `json:"form"`
	Handle         string          `json:"handle"`
	Affinity       *int64          `json:"affinity"`
	BudgetMillis   float64         `json:"time-budget-ms"`
	Profile        string          `json:"profile"`
	FarEnd         int             `json:"far-end"`
	Billing        optionalString  `json:"billing"`
	Attempt        int             `json:"go"`
	Endpoint       string          `json:"endpoint"`
	Code           *int            `json:"code"`
	DurationMillis float64         `json:"duration-ms"`
	Settled        bool            `json:"settled"`
	Note           float64         `json:"note"`
	Report         *report         `json:"report"`
	Cookie         string          `json:"cookie"`
	Contents       *string         `json:"contents"`
}

// row is one endpoint of a list.
type row struct {
	Endpoint  string  `json:"endpoint"`
	Zone      string  `json:"failure-domain"`
	Kind      string  `json:"flavor"`
	BelongsTo int     `json:"belongs-to"`
	Readiness string  `json:"readiness"`
	PowerHint float64 `json:"power-hint"`
}

// report is the load report of an endpoint: X0 is dispatch.LimitReport.LeftShare, X1 is dispatch.LimitReport.Rate.
type report struct {
	X0 float64 `json:"x0"`
	X1 float64 `json:"x1"`
}

// optionalString is a string. The protocol may write the number 0 for an empty one.
type optionalString string

// UnmarshalJSON decodes a string, or the number 0 as the empty string.
func (n *optionalString) UnmarshalJSON(b []byte) error {
	if string(b) == "0" {
		*n = ""
		return nil
	}
	var s string
	err := json.Unmarshal(b, &s)
	*n = optionalString(s)
	return err
}

// requiredFields has, for each event, a function that returns the first missing field, or "".
var requiredFields = map[string]func(*message) string{
	"launch":        func(m *message) string { return firstMissing(len(m.Config) == 0, "config") },
	"power-off":     func(*message) string { return "" },
	"fleet":         func(m *message) string { return firstMissing(m.Form == "", "form") },
	"req":           func(m *message) string { return firstMissing(m.Handle == "", "handle", m.Profile == "", "profile") },
	"streaming":     func(m *message) string { return firstMissing(m.Handle == "", "handle") },
	"hangup":        func(m *message) string { return firstMissing(m.Handle == "", "handle") },
	"alarm":         func(m *message) string { return firstMissing(m.Cookie == "", "cookie") },
	"peer-data":     func(m *message) string { return firstMissing(m.Contents == nil, "contents") },
	"health-result": func(m *message) string { return firstMissing(m.Endpoint == "", "endpoint", m.Code == nil, "code") },
	"reply": func(m *message) string {
		return firstMissing(m.Handle == "", "handle", m.Endpoint == "", "endpoint", m.Code == nil, "code")
	},
}

// firstMissing takes pairs of a condition and a field name. It returns the name after the first true condition, or "".
func firstMissing(pairs ...any) string {
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i].(bool) {
			return pairs[i+1].(string)
		}
	}
	return ""
}

// statusByCode maps the protocol's result codes to statuses.
var statusByCode = []dispatch.Status{dispatch.OK, dispatch.Errored, dispatch.Refused, dispatch.TimedOut,
	dispatch.ConnectFailed, dispatch.Reset, dispatch.Cancelled, dispatch.NotSent}

// stateByReadiness maps the protocol's readiness values to endpoint states.
var stateByReadiness = map[string]dispatch.MembershipState{"healthy": dispatch.Listed, "cordoned": dispatch.Draining,
	"deregistered": dispatch.Gone}

// parseEndpoints converts the rows of a list.
func parseEndpoints(rows []row) ([]dispatch.Endpoint, error) {
	list := make([]dispatch.Endpoint, len(rows))
	for i, r := range rows {
		state, ok := stateByReadiness[r.Readiness]
		if r.Endpoint == "" || !ok {
			return nil, fmt.Errorf("list: entry %d: endpoint is missing or readiness %q is unknown", i, r.Readiness)
		}
		list[i] = dispatch.Endpoint{ID: r.Endpoint, Zone: r.Zone, Kind: r.Kind, Destination: r.BelongsTo,
			State: state, Weight: r.PowerHint}
	}
	return list, nil
}

// decode converts a message to an event. It returns nil for a message that package dispatch has no event for.
func (s *server) decode(m *message) (dispatch.Event, error) {
	switch m.Msg {
	case "fleet":
		return s.decodeMembers(m)
	case "req":
		ev := dispatch.Request{ID: m.Handle, Destination: m.FarEnd, Class: m.Profile, Tenant: string(m.Billing),
			TimeLeft: settings.Millis(m.BudgetMillis)}
		if m.Affinity != nil {
			ev.Key, ev.HasKey = *m.Affinity, true
		}
		return ev, nil
	case "reply", "health-result":
		if *m.Code < 0 || *m.Code >= len(statusByCode) {
			return nil, fmt.Errorf("unknown code %d", *m.Code)
		}
		status := statusByCode[*m.Code]
		var rep *dispatch.LimitReport
		if m.Report != nil {
			rep = &dispatch.LimitReport{LeftShare: m.Report.X0, Rate: m.Report.X1}
		}
		if m.Msg == "health-result" {
			return dispatch.ProbeResult{Endpoint: m.Endpoint, Status: status, Latency: settings.Millis(m.DurationMillis),
				Report: rep}, nil
		}
		ev := dispatch.Outcome{ID: m.Handle, Attempt: m.Attempt, Endpoint: m.Endpoint, Status: status,
			Closed: m.Settled, Latency: settings.Millis(m.DurationMillis), Report: rep}
		if status == dispatch.Refused {
			ev.RetryAfter = settings.Millis(m.Note)
		}
		ev.NoSlot = status == dispatch.NotSent && m.Note == 1
		return ev, nil
	case "hangup":
		return dispatch.Withdrawal{ID: m.Handle}, nil
	case "alarm":
		return dispatch.WakeDue{}, nil
	}
	return nil, nil
}

// decodeMembers converts a fleet message to a change of the endpoint list.
func (s *server) decodeMembers(m *message) (dispatch.Event, error) {
	if m.Form == "unavailable" {
		return dispatch.MembershipLost{}, nil
	}
	if m.Form != "update" && m.Form != "replace" && m.Form != "restored" {
		return nil, fmt.Errorf("unknown form %q", m.Form)
	}
	if m.List == nil {
		return nil, errors.New("field list is missing")
	}
	list, ok := s.lists[*m.List]
	if !ok {
		return nil, fmt.Errorf("list %d was never declared", *m.List)
	}
	return dispatch.MembershipUpdate{Full: m.Form != "update", Endpoints: list}, nil
}
