package conns

import "time"

// recentMaximum is the maximum of the durations of the current and the previous period.
type recentMaximum struct {
	current, previous time.Duration
	from              time.Duration // start of the current period
}

// at returns the maximum at a time, and begins a new period if the current one is over.
func (m *recentMaximum) at(now, period time.Duration) time.Duration {
	if age := now - m.from; age >= 2*period {
		*m = recentMaximum{from: now}
	} else if age >= period {
		*m = recentMaximum{previous: m.current, from: now}
	}
	return max(m.current, m.previous)
}

// add adds a duration at a time.
func (m *recentMaximum) add(value, now, period time.Duration) {
	m.at(now, period)
	m.current = max(m.current, value)
}

// limit lowers both periods to at most a duration.
func (m *recentMaximum) limit(value time.Duration) {
	m.current, m.previous = min(m.current, value), min(m.previous, value)
}
