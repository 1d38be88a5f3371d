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

// Report is what a run came to, over the whole fleet.
type Report struct {
	Verdict ledger.Verdict
	// Worth is what was delivered, as a share of what was asked for.
	Worth float64
	// Unheard are calls inside waits that other relays had been told.
	Unheard []ledger.Unheard
	Waits   int // that were told, those inside others not counted
	Calls   []ledger.Call
	Relays  []int // that made them
	// Of each relay: what it used, and its part in the fleet.
	CPU     []float64 // share of a core during the load
	RSS     []int64
	Figures []fleet.Figures
	Span    time.Duration // of the load
	begun   time.Time
	fleet   *Fleet
}

// Judge ends the fleet and judges what was recorded.
func (f *Fleet) Judge() *Report {
	r := &Report{Span: time.Since(f.Began), begun: f.Began, fleet: f, CPU: make([]float64, len(f.seats)), RSS: make([]int64, len(f.seats)),
		Figures: make([]fleet.Figures, len(f.seats))}
	_ = f.each(nil, func(s *seat) error {
		if s.proc != nil {
			u := s.proc.Usage()
			r.CPU[s.Number], r.RSS[s.Number] = (s.used+u.CPU-s.cpu).Seconds()/r.Span.Seconds(), u.RSS
		}
		if g, err := f.figures(s); err == nil {
			g.SentBytes -= s.sent
			r.Figures[s.Number] = g
		}
		return nil
	})
	f.Close()
	rules := ledger.Usual(f.D.Classes)
	r.Verdict = f.D.Ledger.Judge(rules, time.Now())
	r.Unheard, r.Waits = f.D.Ledger.Unheard()
	r.Calls, r.Relays = f.D.Ledger.Calls()
	worth, asked := 0.0, 0.0
	for i, c := range r.Verdict.Classes {
		worth += c.Worth
		asked += float64(c.Offered) * f.D.Classes[i].Worth
	}
	r.Worth = worth / max(asked, 1)
	return r
}

// Connections counts those that all relays asked a partner's endpoints for, from and until seconds of the load.
func (r *Report) Connections(p *labv1.Partner, from, until float64) (n int) {
	for _, s := range r.fleet.seats {
		for _, e := range endpoints(p) {
			n += r.fleet.Net.Opened(s.name, e, r.begun.Add(seconds(from)), r.begun.Add(seconds(until)))
		}
	}
	return n
}

// Tried tells how many connections each relay asked a partner for in a span, by quarters of a second.
func (r *Report) Tried(w io.Writer, p *labv1.Partner, from, until float64) {
	for _, s := range r.fleet.seats {
		var line strings.Builder
		for at := from; at < until; at += 0.25 {
			n := 0
			for _, e := range endpoints(p) {
				n += r.fleet.Net.Opened(s.name, e, r.begun.Add(seconds(at)), r.begun.Add(seconds(at+0.25)))
			}
			fmt.Fprintf(&line, " %3d", n)
		}
		fmt.Fprintf(w, "%4s%s\n", s.name, line.String())
	}
}

// Answered counts a partner's calls by status, arrived from and until seconds of the load; 0 for those without an answer.
func (r *Report) Answered(p *labv1.Partner, from, until float64) map[int]int {
	n := map[int]int{}
	for _, c := range r.Calls {
		if at := c.Arrived.Sub(r.begun).Seconds(); c.Dest == int(p.Destination) && at >= from && at < until {
			n[c.Status]++
		}
	}
	return n
}

// outages are the spans of a partner's script in which it does not serve.
func outages(p *labv1.Partner, length float64) (spans [][2]float64) {
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

// Print writes the report for a person.
func (r *Report) Print(w io.Writer) error {
	sc := r.fleet.Scenario
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	total := ledger.PerClass{}
	for _, c := range r.Verdict.Classes {
		fmt.Fprintf(t, "class %s\toffered %d, taken on %d, refused %d, unanswered %d, delivered %d, in aim %d, handed back %d, given up %d, p99 %v\n", c.Class,
			c.Offered, c.Accepted, c.Refused, c.NoAnswer+c.Unsent, c.Delivered, c.InAim, c.HandedBack, c.GivenUp, ledger.At(c.ToDeliver, 0.99).Round(time.Millisecond))
		total.Offered += c.Offered
	}
	fmt.Fprintf(t, "worth\t%.3f of what was asked for\n", r.Worth)
	for _, p := range sc.Partner {
		n := r.Answered(p, 0, sc.LengthS)
		all := 0
		for _, x := range n {
			all += x
		}
		fmt.Fprintf(t, "partner %s\t%d calls, %d answered 200, %d refused, %d without an answer; %d connections\n", p.Name, all, n[200], n[429]+n[503], n[0],
			r.Connections(p, 0, sc.LengthS))
		if most := Capacity(p, 0, sc.LengthS); most > 0 {
			fmt.Fprintf(t, "\t%.3f of what its limit allowed\n", float64(n[200])/most)
		}
		r.limits(t, p)
		for _, o := range outages(p, sc.LengthS) {
			fmt.Fprintf(t, "\tout from %.1f to %.1f s: %d connections; in the second after, %d", o[0], o[1], r.Connections(p, o[0], o[1]), r.Connections(p, o[1], o[1]+1))
			if end := min(o[1]+8, sc.LengthS); end > o[1] && Capacity(p, o[1], end) > 0 {
				fmt.Fprintf(t, "; in 8 s, %.3f of what it took\n", float64(r.Answered(p, o[1], end)[200])/Capacity(p, o[1], end))
			} else {
				fmt.Fprintln(t)
			}
		}
	}
	if first, others := r.TakenOn(); sc.Load.Hot > 0 {
		fmt.Fprintf(t, "taken on\t%.3f of what the first relay was handed, %.3f of what the others were\n", first, others)
	}
	late, worst, each := time.Duration(0), 0, map[time.Time]int{}
	for _, u := range r.Unheard {
		late = max(late, u.After)
		each[u.Told]++
		worst = max(worst, each[u.Told])
	}
	fmt.Fprintf(t, "in others' waits\t%d calls in %d waits (%d in one), the latest %v after the wait was told\n", len(r.Unheard), r.Waits, worst,
		late.Round(time.Millisecond))
	var sent, cpu, rss float64
	var most float64
	drops := fleet.Drops{}
	for i, g := range r.Figures {
		sent += float64(g.SentBytes) / r.Span.Seconds() / float64(len(r.Figures))
		most = max(most, float64(g.SentBytes)/r.Span.Seconds())
		cpu += r.CPU[i] / float64(len(r.CPU))
		rss += float64(r.RSS[i]) / float64(len(r.RSS))
		drops.Forged += g.Drops.Forged
		drops.Replayed += g.Drops.Replayed
		drops.Strangers += g.Drops.Strangers
		drops.Short += g.Drops.Short
		drops.Overrun += g.Drops.Overrun
	}
	fmt.Fprintf(t, "each relay\t%.2f %% of a core (most %.2f), %.1f MB resident, %.0f bytes a second sent to others (most %.0f)\n", 100*cpu, 100*slices.Max(r.CPU), rss/1e6, sent, most)
	fmt.Fprintf(t, "dropped\tforged %d, replayed %d, strangers' %d, for want of bytes %d, overrun %d\n", drops.Forged, drops.Replayed, drops.Strangers, drops.Short, drops.Overrun)
	rules := map[string]int{}
	for _, b := range r.Verdict.Breaches {
		rules[b.Rule]++
	}
	fmt.Fprintf(t, "rules broken\t%d %v\n", len(r.Verdict.Breaches), rules)
	for i, b := range r.Verdict.Breaches {
		if i < 5 {
			fmt.Fprintf(t, "\t%s: message %016x: %s\n", b.Rule, b.ID, b.Text)
		}
	}
	return t.Flush()
}

// Beliefs writes what relays hold of each other's word just now, beside what is so.
func (f *Fleet) Beliefs(w io.Writer) {
	at := time.Since(f.Began).Seconds()
	type count struct{ out, waits, barred, silent int }
	byDest := map[int]*count{}
	for _, p := range f.Scenario.Partner {
		byDest[int(p.Destination)] = &count{}
	}
	asked, alive := 0, 0
	for i, s := range f.seats {
		if !s.fleet || !s.alive() {
			continue
		}
		alive++
		if i%max(len(f.seats)/8, 1) != 0 { // a few of many
			continue
		}
		asked++
		list, err := f.Verdicts(i)
		if err != nil {
			for _, c := range byDest {
				c.silent++
			}
			continue
		}
		seen := map[string]bool{}
		for _, v := range list {
			c := byDest[v.Destination]
			if k := fmt.Sprint(v.Kind, v.Destination); c == nil || v.Over || seen[k] {
				continue
			} else {
				seen[k] = true
			}
			switch v.Kind {
			case "health":
				c.out++
			case "wait":
				c.waits++
			case "drain", "ban":
				c.barred++
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
		text := fmt.Sprintf("%s is %s: told out %d, wait %d", p.Name, strings.ToLower(mode.String()), c.out, c.waits)
		if c.barred > 0 {
			text += fmt.Sprintf(", leaving %d", c.barred)
		}
		parts = append(parts, text)
	}
	fmt.Fprintf(w, "%6.2f s  %d relays live, %d asked; %s\n", at, alive, asked, strings.Join(parts, "; "))
}
