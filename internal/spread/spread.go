// Package spread decides how news travels among the relays of a fleet: to whom a statement goes at once, who sends it on, with
// whom books are compared, how late a packet is, and what waits where bytes are short. It makes no calls, reads no clock and
// keeps no goroutine; the program and the laboratory's emulator run the same code. docs/fleet-verdicts.md states its bound.
package spread

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wrenford/internal/allowance"
	"wrenford/internal/configsync"
	"wrenford/internal/verdicts"
)

// Config says how a relay spreads news.
type Config struct {
	Self     string
	Exchange time.Duration // mean time between two comparisons of books with a random member
	Bytes    float64       // a second that may be sent, as Size counts them
	Size     func(*Packet) int
	Packet   int // bytes of one packet at most
	Seed     uint64
}

func (c *Config) check() error {
	switch {
	case c.Self == "":
		return errors.New("spread: Self is empty")
	case c.Exchange < time.Millisecond:
		return errors.New("spread: Exchange is under a millisecond")
	case !(c.Bytes > 0) || c.Size == nil || c.Packet < 256:
		return errors.New("spread: Bytes, Size or Packet make no sense")
	}
	return nil
}

const (
	// directMost is how many others get news in one hop.
	directMost = 8
	// burst is how many seconds of bytes may go out at once.
	burst = 2.0
	// jitter spreads exchanges by this share to both sides.
	jitter = 0.25
	// drift is how much one clock may run apart from another.
	drift = 200e-6
	// lookEvery is how often Tick wants to be called; a relay that has not looked for more than deafAfter was stopped, or starved.
	// What comes within a second of its waking may have waited for it.
	lookEvery, deafAfter, waking = 200 * time.Millisecond, 600 * time.Millisecond, time.Second
	// window is how many of a sender's newest packets are told from replayed ones.
	window = 64
)

// Packet is what one relay sends another.
type Packet struct {
	From        string
	Incarnation uint64        // of the sender
	Uptime      time.Duration // of the sender's process, when this was sent
	Count       uint64        // of its packets, from 1
	// Salt and Group say to whom the receiver sends the news on: to members whose name hashes there, of Groups.
	Salt          uint64
	Group, Groups int
	News          []verdicts.Statement
	// Ask and Answer compare books by their summaries. An Ask waits for an Answer, which waits for nothing.
	Ask, Answer bool
	Summary     verdicts.Summary
	// Members tells, with Ask and Answer, who lives as the sender knows: who knows otherwise should compare; 0 for not told.
	Members uint64
	// Known answers a packet whose sender's incarnation is behind: the one that is known of it.
	Known uint64
	// Claim and Grant are of the limits that relays divide. Spread carries them, and nothing more.
	Claim *allowance.Claim
	Grant *allowance.Grant
	// Configuration is of the replication of configuration, which has a byte budget of its own. Spread carries it, too.
	Configuration *configsync.Message
}

// Send is a packet on its way.
type Send struct {
	To     string
	Packet Packet
}

// Counters count since the start.
type Counters struct {
	Sent      int64 `json:"sent"` // packets
	SentBytes int64 `json:"sent_bytes"`
	Received  int64 `json:"received"`  // packets taken in
	News      int64 `json:"news"`      // statements in them that were new
	Strangers int64 `json:"strangers"` // packets dropped: from no member
	Replayed  int64 `json:"replayed"`  // packets dropped: seen before, or of an earlier incarnation
	Gone      int64 `json:"gone"`      // statements dropped, for their origin is no member
	Short     int64 `json:"short"`     // packets not sent for want of bytes
	Asked     int64 `json:"asked"`     // comparisons begun
	Answered  int64 `json:"answered"`  // of them, those that were answered
	Late      int64 `json:"late"`      // packets that came more than a second late
	Posted    int64 `json:"posted"`    // claims, grants and messages of configuration sent
	Differed  int64 `json:"differed"`  // comparisons with one who knows of other members
}

// Spread decides for one relay.
type Spread struct {
	cfg     Config
	book    *verdicts.Book
	rng     *rand.Rand
	others  []string // live members but this one, sorted
	members uint64   // a sum of hashes of their names and this one's
	peers   map[string]*peer
	inc     uint64
	count   Counters
	packets uint64
	next    time.Duration // when the next comparison is due
	asked   map[string]time.Duration
	heard   time.Duration // when the newest comparison that was answered had been asked for
	looked  time.Duration // when this was last called
	deaf    time.Duration // how long it was not, before it woke
	woke    time.Duration
	tokens  float64
	filled  time.Duration
	out     []Send
}

// peer is what is kept of a member.
type peer struct {
	incarnation uint64
	offset      time.Duration // least difference seen between our clock and its uptime
	at          time.Duration // when that was noted
	met         time.Duration // when its first packet came
	top         uint64        // the highest count of its packets
	seen        uint64        // which of the window below it came
}

// New returns a Spread over a book that its caller owns.
func New(cfg Config, now time.Duration, book *verdicts.Book, incarnation uint64) (*Spread, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Spread{cfg: cfg, book: book, rng: rand.New(rand.NewPCG(cfg.Seed, hash(0, cfg.Self))), peers: map[string]*peer{}, inc: incarnation,
		asked: map[string]time.Duration{}, heard: now, tokens: burst * cfg.Bytes, filled: now, looked: now, woke: now - waking}
	s.next = now + s.pause()
	return s, nil
}

func hash(salt uint64, name string) uint64 {
	h := xxhash.NewWithSeed(salt)
	_, _ = h.WriteString(name) // it never fails
	return h.Sum64()
}

func (s *Spread) pause() time.Duration {
	return time.Duration(float64(s.cfg.Exchange) * (1 + jitter*(2*s.rng.Float64()-1)))
}

// Counters returns what was counted.
func (s *Spread) Counters() Counters { return s.count }

// Incarnation goes over to another one.
func (s *Spread) Incarnation(inc uint64) { s.inc = inc }

// Members tells who lives, this relay included or not. What is kept of others ends.
func (s *Spread) Members(live []string) {
	s.others, s.members = s.others[:0], hash(0, s.cfg.Self)
	here := map[string]bool{}
	for _, m := range live {
		if m != s.cfg.Self && !here[m] {
			here[m] = true
			s.others = append(s.others, m)
			s.members += hash(0, m)
		}
	}
	slices.Sort(s.others)
	for m := range s.peers {
		if !here[m] {
			delete(s.peers, m)
			delete(s.asked, m)
		}
	}
}

// Member says whether a name is that of a live member, this relay included.
func (s *Spread) Member(name string) bool {
	if name == s.cfg.Self {
		return true
	}
	_, ok := slices.BinarySearch(s.others, name)
	return ok
}

// Live are the names of the members that live, this relay's left out.
func (s *Spread) Live() []string { return slices.Clone(s.others) }

// Staleness is how old the newest comparison is that was answered: what the fleet said before, this relay has heard, as
// far as its partner had. It grows while all links are cut; alone in its fleet a relay has nothing to hear.
func (s *Spread) Staleness(now time.Duration) time.Duration { return now - s.heard }

// Due is when Tick has something to do.
func (s *Spread) Due() time.Duration { return min(s.next, s.looked+lookEvery) }

// Hurry has a comparison begun soon: members have come, and may know what this relay does not. Soon is spread, for where all
// start at one moment all see all others come.
func (s *Spread) Hurry(now time.Duration) {
	s.next = min(s.next, now+time.Duration(s.rng.Float64()*jitter*float64(s.cfg.Exchange)))
}

// look notes that this relay runs, and whether it has not for a while.
func (s *Spread) look(now time.Duration) {
	if gap := now - s.looked; gap > deafAfter {
		s.deaf, s.woke = gap, now
	}
	s.looked = now
}

// Tell sends statements of this relay's own, which the book has, to all.
func (s *Spread) Tell(now time.Duration, news []verdicts.Statement) []Send {
	s.out = nil
	if len(news) == 0 {
		return nil
	}
	slices.SortStableFunc(news, func(a, b verdicts.Statement) int { return int(a.Kind) - int(b.Kind) })
	if len(s.others) <= directMost {
		for _, m := range s.others {
			s.send(now, m, Packet{News: news})
		}
		return s.out
	}
	salt, groups := s.rng.Uint64(), int(math.Ceil(math.Sqrt(float64(len(s.others)))))
	for g, list := range s.grouped(salt, groups) {
		if len(list) > 0 {
			s.send(now, list[s.rng.IntN(len(list))], Packet{News: news, Salt: salt, Group: g, Groups: groups})
		}
	}
	return s.out
}

func (s *Spread) grouped(salt uint64, groups int) [][]string {
	lists := make([][]string, groups)
	for _, m := range s.others {
		g := hash(salt, m) % uint64(groups)
		lists[g] = append(lists[g], m)
	}
	return lists
}

// Tick begins a comparison where one is due.
func (s *Spread) Tick(now time.Duration) []Send {
	s.out = nil
	s.look(now)
	if now < s.next {
		return nil
	}
	s.next = now + s.pause()
	if len(s.others) == 0 {
		s.heard = now
		return nil
	}
	to := s.others[s.rng.IntN(len(s.others))]
	s.asked[to] = now
	s.count.Asked++
	s.send(now, to, Packet{Ask: true, Summary: s.book.Summary(now), Members: s.members})
	return s.out
}

// Post sends a claim or a grant.
func (s *Spread) Post(now time.Duration, to string, claim *allowance.Claim, grant *allowance.Grant) []Send {
	s.out = nil
	if to != s.cfg.Self && s.Member(to) {
		s.send(now, to, Packet{Claim: claim, Grant: grant})
	}
	return s.out
}

// PostConfiguration sends a message of the replication of configuration.
func (s *Spread) PostConfiguration(now time.Duration, to string, message *configsync.Message) []Send {
	s.out = nil
	if to != s.cfg.Self && s.Member(to) {
		s.send(now, to, Packet{Configuration: message})
	}
	return s.out
}

// Receive takes a packet in: the book learns what is new, which is returned, and packets go out. Statements of this
// relay's own that another process said under its name, or that it has forgotten, come back in own.
func (s *Spread) Receive(now time.Duration, p Packet) (news, own []verdicts.Statement, out []Send) {
	s.out = nil
	s.look(now)
	if p.From == s.cfg.Self || !s.Member(p.From) {
		s.count.Strangers++
		return nil, nil, nil
	}
	late, ok := s.late(now, &p)
	if !ok {
		s.count.Replayed++
		if q := s.peers[p.From]; p.Incarnation < q.incarnation { // if it lives, the folder that counts its starts was lost
			s.send(now, p.From, Packet{Known: q.incarnation})
		}
		return nil, nil, s.out
	}
	s.count.Received++
	if p.Known > s.inc {
		own = append(own, verdicts.Statement{Origin: s.cfg.Self, Version: verdicts.Version{Incarnation: p.Known}})
	}
	if late > time.Second {
		s.count.Late++
	}
	for _, st := range p.News {
		st.Age += late
		switch {
		case st.Origin == s.cfg.Self:
			own = append(own, st)
		case !s.Member(st.Origin): // what the dead said ends with them
			s.count.Gone++
		case s.book.Merge(now, st):
			news = append(news, st)
		}
	}
	s.count.News += int64(len(news))
	if p.Groups > 1 && len(news) > 0 {
		for _, m := range s.others {
			if m != p.From && hash(p.Salt, m)%uint64(p.Groups) == uint64(p.Group) {
				s.send(now, m, Packet{News: news})
			}
		}
	}
	if p.Answer {
		if at, ok := s.asked[p.From]; ok {
			delete(s.asked, p.From)
			s.heard = max(s.heard, at)
			s.count.Answered++
		}
	}
	if p.Ask || p.Answer {
		s.compare(now, &p)
	}
	return news, own, s.out
}

// compare answers a summary with what its sender may lack. The answer to an Ask carries our summary, so that both
// sides end with the union.
func (s *Spread) compare(now time.Duration, p *Packet) {
	reply := Packet{Answer: p.Ask}
	if p.Members != 0 && p.Members != s.members {
		s.count.Differed++
	}
	if p.Ask {
		reply.Members = s.members
		reply.Summary = s.book.Summary(now)
	}
	beyond := s.book.Beyond(now, p.Summary)
	if !p.Ask && len(beyond) == 0 {
		return
	}
	reply.News = beyond
	s.send(now, p.From, reply)
}

// late says how much later a packet came than the quickest that there was from its sender, which is noted; it
// says no where the packet has been seen, or was sent by an earlier process of that name.
func (s *Spread) late(now time.Duration, p *Packet) (time.Duration, bool) {
	q := s.peers[p.From]
	if q == nil || p.Incarnation > q.incarnation {
		q = &peer{incarnation: p.Incarnation, offset: now - p.Uptime, at: now}
		q.met = now
		s.peers[p.From] = q
	} else if p.Incarnation < q.incarnation {
		return 0, false
	}
	switch {
	case p.Count > q.top:
		if shift := p.Count - q.top; shift < window {
			q.seen = q.seen<<shift | 1
		} else {
			q.seen = 1
		}
		q.top = p.Count
	case q.top-p.Count >= window || q.seen&(1<<(q.top-p.Count)) != 0:
		return 0, false
	default:
		q.seen |= 1 << (q.top - p.Count)
	}
	late := s.clock(now, q, p.Uptime)
	if now-s.woke < waking && q.met >= s.woke { // nothing prompt to compare with: it may have waited here while this relay was deaf
		late += s.deaf
	}
	return late, true
}

// clock notes a reading of a peer's clock, and says how late it came.
func (s *Spread) clock(now time.Duration, q *peer, uptime time.Duration) time.Duration {
	q.offset += time.Duration(drift * float64(now-q.at))
	q.at = now
	q.offset = min(q.offset, now-uptime)
	return now - uptime - q.offset
}

// Clock notes a peer's clock as told with the answer to a probe.
func (s *Spread) Clock(now time.Duration, from string, incarnation uint64, uptime time.Duration) {
	if q := s.peers[from]; q != nil && q.incarnation == incarnation {
		s.clock(now, q, uptime)
	} else if s.Member(from) && (q == nil || incarnation > q.incarnation) {
		s.peers[from] = &peer{incarnation: incarnation, offset: now - uptime, at: now}
	}
}

// send cuts a packet into such as may be sent, as far as there are bytes. The first piece alone compares.
func (s *Spread) send(now time.Duration, to string, p Packet) {
	s.tokens = min(s.tokens+s.cfg.Bytes*(now-s.filled).Seconds(), burst*s.cfg.Bytes)
	s.filled = now
	p.From, p.Incarnation, p.Uptime, p.Count = s.cfg.Self, s.inc, now, s.packets+1
	for news := p.News; ; {
		p.News = news
		for s.cfg.Size(&p) > s.cfg.Packet && len(p.News) > 1 {
			p.News = p.News[:len(p.News)/2]
		}
		news = news[len(p.News):]
		size := s.cfg.Size(&p)
		posted := p.Claim != nil || p.Grant != nil || p.Configuration != nil
		if size > s.cfg.Packet || float64(size) > s.tokens && !posted {
			s.count.Short++
			return
		}
		if posted { // as many as there is demand: news keeps its bytes
			s.count.Posted++
		} else {
			s.tokens -= float64(size)
		}
		s.packets++
		s.count.Sent++
		s.count.SentBytes += int64(size)
		s.out = append(s.out, Send{To: to, Packet: p})
		if len(news) == 0 {
			return
		}
		p.Ask, p.Answer, p.Summary, p.Members, p.Count = false, false, verdicts.Summary{}, 0, s.packets+1
	}
}

// Bound is the time within which all relays know a statement, but for a chance of one in 1,000: members many, a one-way delay
// with what a relay takes to look at a packet, a chance of loss of each packet by itself, and the mean time between
// comparisons. docs/fleet-verdicts.md derives it.
func Bound(members int, delay time.Duration, loss float64, exchange time.Duration) time.Duration {
	b := 2 * delay
	if members <= directMost+1 {
		b = delay
	}
	if loss <= 0 || members < 2 {
		return b
	}
	there := (1 - loss) * (1 - loss)
	missed := 1 - there
	r := 1 - (1-missed)*there
	n := math.Ceil(math.Log(1000*float64(members)*missed) / -math.Log(r))
	return b + time.Duration((1+jitter)*max(n, 1)*float64(exchange)) + 2*delay
}
