package fleets

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"slatemux/internal/fleet"
	"slatemux/internal/lab/fleets/labv1"
	"slatemux/internal/lab/ledger"
)

// Report is the result of a run, over the whole fleet.
type Report struct {
	Verdict ledger.Verdict
	// WorthShare is the worth of the delivered messages, as a share of the worth of the submitted messages.
	WorthShare float64
	// CallsInOtherWaits are the calls of a relay during a retry-after wait that the destination had sent to another relay.
	CallsInOtherWaits []ledger.UnsharedWaitCall
	// Waits is the number of retry-after waits. A wait that begins within another one is not counted.
	Waits int
	// Calls are the calls that reached the partners. CallingRelays holds the relay of each call, by the same index.
	Calls         []ledger.Call
	CallingRelays []int
	// CPUShares, ResidentBytes and Metrics have one entry for each relay.
	CPUShares     []float64 // share of a core during the load
	ResidentBytes []int64
	Metrics       []fleet.Metrics
	LoadDuration  time.Duration
	loadStart     time.Time
	fleet         *Fleet
}

// Judge ends the fleet and evaluates the recorded messages and calls.
func (f *Fleet) Judge() *Report {
	r := &Report{LoadDuration: time.Since(f.LoadStart), loadStart: f.LoadStart, fleet: f, CPUShares: make([]float64, len(f.nodes)), ResidentBytes: make([]int64, len(f.nodes)),
		Metrics: make([]fleet.Metrics, len(f.nodes))}
	_ = f.forEachNode(nil, func(node *relayNode) error {
		if node.process != nil {
			u := node.process.Usage()
			r.CPUShares[node.Number], r.ResidentBytes[node.Number] = (node.endedCPU+u.CPU-node.initialCPU).Seconds()/r.LoadDuration.Seconds(), u.RSS
		}
		if metrics, err := f.fetchMetrics(node); err == nil {
			metrics.SentBytes -= node.initialSentBytes
			r.Metrics[node.Number] = metrics
		}
		return nil
	})
	f.Close()
	rules := ledger.DefaultRules(f.Deployment.Classes)
	r.Verdict = f.Deployment.Ledger.Judge(rules, time.Now())
	r.CallsInOtherWaits, r.Waits = f.Deployment.Ledger.UnsharedWaitCalls()
	r.Calls, r.CallingRelays = f.Deployment.Ledger.Calls()
	deliveredWorth, offeredWorth := 0.0, 0.0
	for i, c := range r.Verdict.Classes {
		deliveredWorth += c.Worth
		offeredWorth += float64(c.Offered) * f.Deployment.Classes[i].Worth
	}
	r.WorthShare = deliveredWorth / max(offeredWorth, 1)
	return r
}

// Connections counts the connection attempts of all relays to a partner's endpoints, between two times in seconds of the load.
func (r *Report) Connections(p *labv1.Partner, from, until float64) (n int) {
	for _, node := range r.fleet.nodes {
		for _, e := range endpointNames(p) {
			n += r.fleet.Links.ConnectionCount(node.name, e, r.loadStart.Add(seconds(from)), r.loadStart.Add(seconds(until)))
		}
	}
	return n
}

// PrintConnectionAttempts writes the number of connection attempts of each relay to a partner in each quarter of a second of a span.
func (r *Report) PrintConnectionAttempts(w io.Writer, p *labv1.Partner, from, until float64) {
	for _, node := range r.fleet.nodes {
		var line strings.Builder
		for at := from; at < until; at += 0.25 {
			n := 0
			for _, e := range endpointNames(p) {
				n += r.fleet.Links.ConnectionCount(node.name, e, r.loadStart.Add(seconds(at)), r.loadStart.Add(seconds(at+0.25)))
			}
			fmt.Fprintf(&line, " %3d", n)
		}
		fmt.Fprintf(w, "%4s%s\n", node.name, line.String())
	}
}

// CallsByStatus counts the calls that reached a partner between two times in seconds of the load, by status. Calls without an answer
// have status 0.
func (r *Report) CallsByStatus(p *labv1.Partner, from, until float64) map[int]int {
	n := map[int]int{}
	for _, c := range r.Calls {
		if at := c.Arrived.Sub(r.loadStart).Seconds(); c.Dest == int(p.Destination) && at >= from && at < until {
			n[c.Status]++
		}
	}
	return n
}

// outageSpans returns the spans of a partner's script in which the partner does not serve, in seconds of the load.
func outageSpans(p *labv1.Partner, length float64) (spans [][2]float64) {
	for i, ph := range p.Phase {
		end := length
		if i+1 < len(p.Phase) {
			end = p.Phase[i+1].FromS
		}
		if ph.Mode != labv1.Mode_SERVING {
			spans = append(spans, [2]float64{ph.FromS, end})
		}
	}
	return spans
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	sc := r.fleet.Scenario
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	total := ledger.ClassTotals{}
	for _, c := range r.Verdict.Classes {
		fmt.Fprintf(t, "class %s\toffered %d, taken on %d, refused %d, unanswered %d, delivered %d, in aim %d, handed back %d, given up %d, p99 %v\n", c.Class,
			c.Offered, c.Accepted, c.Refused, c.NoAnswer+c.Unsent, c.Delivered, c.WithinAim, c.Returned, c.GivenUp, ledger.Quantile(c.DeliverLatency, 0.99).Round(time.Millisecond))
		total.Offered += c.Offered
	}
	fmt.Fprintf(t, "worth\t%.3f of what was asked for\n", r.WorthShare)
	for _, p := range sc.Partner {
		callsByStatus := r.CallsByStatus(p, 0, sc.LengthS)
		all := 0
		for _, x := range callsByStatus {
			all += x
		}
		fmt.Fprintf(t, "partner %s\t%d calls, %d answered 200, %d refused, %d without an answer; %d connections\n", p.Name, all, callsByStatus[200], callsByStatus[429]+callsByStatus[503], callsByStatus[0],
			r.Connections(p, 0, sc.LengthS))
		if maxCalls := CallCapacity(p, 0, sc.LengthS); maxCalls > 0 {
			fmt.Fprintf(t, "\t%.3f of what its limit allowed\n", float64(callsByStatus[200])/maxCalls)
		}
		r.printLimitUse(t, p)
		for _, o := range outageSpans(p, sc.LengthS) {
			fmt.Fprintf(t, "\tout from %.1f to %.1f s: %d connections; in the second after, %d", o[0], o[1], r.Connections(p, o[0], o[1]), r.Connections(p, o[1], o[1]+1))
			if end := min(o[1]+8, sc.LengthS); end > o[1] && CallCapacity(p, o[1], end) > 0 {
				fmt.Fprintf(t, "; in 8 s, %.3f of what it took\n", float64(r.CallsByStatus(p, o[1], end)[200])/CallCapacity(p, o[1], end))
			} else {
				fmt.Fprintln(t)
			}
		}
	}
	if first, others := r.AcceptedShares(); sc.Load.Hot > 0 {
		fmt.Fprintf(t, "taken on\t%.3f of what the first relay was handed, %.3f of what the others were\n", first, others)
	}
	latest, maxCallsInWait, callsInWait := time.Duration(0), 0, map[time.Time]int{}
	for _, u := range r.CallsInOtherWaits {
		latest = max(latest, u.After)
		callsInWait[u.WaitStart]++
		maxCallsInWait = max(maxCallsInWait, callsInWait[u.WaitStart])
	}
	fmt.Fprintf(t, "in others' waits\t%d calls in %d waits (%d in one), the latest %v after the wait was told\n", len(r.CallsInOtherWaits), r.Waits, maxCallsInWait,
		latest.Round(time.Millisecond))
	var meanSentRate, meanCPUShare, meanResidentBytes float64
	var maxSentRate float64
	drops := fleet.Drops{}
	for i, g := range r.Metrics {
		meanSentRate += float64(g.SentBytes) / r.LoadDuration.Seconds() / float64(len(r.Metrics))
		maxSentRate = max(maxSentRate, float64(g.SentBytes)/r.LoadDuration.Seconds())
		meanCPUShare += r.CPUShares[i] / float64(len(r.CPUShares))
		meanResidentBytes += float64(r.ResidentBytes[i]) / float64(len(r.ResidentBytes))
		drops.Forged += g.Drops.Forged
		drops.Replayed += g.Drops.Replayed
		drops.UnknownSenders += g.Drops.UnknownSenders
		drops.Unsent += g.Drops.Unsent
		drops.InboxFull += g.Drops.InboxFull
	}
	fmt.Fprintf(t, "each relay\t%.2f %% of a core (most %.2f), %.1f MB resident, %.0f bytes a second sent to others (most %.0f)\n", 100*meanCPUShare, 100*slices.Max(r.CPUShares), meanResidentBytes/1e6, meanSentRate, maxSentRate)
	fmt.Fprintf(t, "dropped\tforged %d, replayed %d, strangers' %d, for want of bytes %d, overrun %d\n", drops.Forged, drops.Replayed, drops.UnknownSenders, drops.Unsent, drops.InboxFull)
	rules := map[string]int{}
	for _, b := range r.Verdict.Violations {
		rules[b.Rule]++
	}
	fmt.Fprintf(t, "rules broken\t%d %v\n", len(r.Verdict.Violations), rules)
	for i, b := range r.Verdict.Violations {
		if i < 5 {
			fmt.Fprintf(t, "\t%s: message %016x: %s\n", b.Rule, b.ID, b.Text)
		}
	}
	return t.Flush()
}

// PrintStatements writes how many relays currently hold each kind of statement about each partner, next to the partner's real state.
func (f *Fleet) PrintStatements(w io.Writer) {
	at := time.Since(f.LoadStart).Seconds()
	type verdictCounts struct{ outages, waits, exclusions, failedQueries int }
	byDest := map[int]*verdictCounts{}
	for _, p := range f.Scenario.Partner {
		byDest[int(p.Destination)] = &verdictCounts{}
	}
	queried, aliveCount := 0, 0
	for i, node := range f.nodes {
		if !node.inFleet || !node.alive() {
			continue
		}
		aliveCount++
		if i%max(len(f.nodes)/8, 1) != 0 { // query only a few relays of a large fleet
			continue
		}
		queried++
		list, err := f.Verdicts(i)
		if err != nil {
			for _, c := range byDest {
				c.failedQueries++
			}
			continue
		}
		seen := map[string]bool{}
		for _, v := range list {
			c := byDest[v.Destination]
			if k := fmt.Sprint(v.Kind, v.Destination); c == nil || v.Withdrawn || seen[k] {
				continue
			} else {
				seen[k] = true
			}
			switch v.Kind {
			case "health":
				c.outages++
			case "wait":
				c.waits++
			case "drain", "ban":
				c.exclusions++
			}
		}
	}
	var parts []string
	for _, p := range f.Scenario.Partner {
		mode := p.Phase[0].Mode
		for _, ph := range p.Phase {
			if ph.FromS <= at {
				mode = ph.Mode
			}
		}
		c := byDest[int(p.Destination)]
		text := fmt.Sprintf("%s is %s: told out %d, wait %d", p.Name, strings.ToLower(mode.String()), c.outages, c.waits)
		if c.exclusions > 0 {
			text += fmt.Sprintf(", leaving %d", c.exclusions)
		}
		parts = append(parts, text)
	}
	fmt.Fprintf(w, "%6.2f s  %d relays live, %d asked; %s\n", at, aliveCount, queried, strings.Join(parts, "; "))
}
