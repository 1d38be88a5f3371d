package configsync

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
)

// newTestReplica returns the replica of the first member at time 0. Its membership is set.
func newTestReplica(t *testing.T, members []Member, adjust func(*Config)) *Replica {
	t.Helper()
	config := Defaults()
	config.Self, config.MessageBytes = members[0].Name, messageSize
	if adjust != nil {
		adjust(&config)
	}
	r, err := NewReplica(config, 0, NewStore(acceptAll{}, 1000))
	if err != nil {
		t.Fatal(err)
	}
	r.SetMembers(0, members)
	return r
}

func withoutExchanges(c *Config) { c.ExchangeInterval = 24 * time.Hour }

// pushes returns the pushes among sends.
func pushes(sends []OutgoingMessage) []OutgoingMessage {
	var found []OutgoingMessage
	for _, send := range sends {
		if send.Message.Push != nil {
			found = append(found, send)
		}
	}
	return found
}

func TestNewReplicaValidatesConfig(t *testing.T) {
	cases := map[string]func(*Config){
		"self":      func(c *Config) { c.Self = "" },
		"exchange":  func(c *Config) { c.ExchangeInterval = 0 },
		"timeout":   func(c *Config) { c.AckTimeout = 0 },
		"attempts":  func(c *Config) { c.MaxAttempts = 0 },
		"fan-out":   func(c *Config) { c.FanOut = 1 },
		"size":      func(c *Config) { c.MessageBytes = nil },
		"packet":    func(c *Config) { c.MaxPacketBytes = 10 },
		"bytes":     func(c *Config) { c.BytesPerSecond = 100 },
		"NaN bytes": func(c *Config) { c.BytesPerSecond = math.NaN() },
		"repair":    func(c *Config) { c.RepairBytesPerSecond = 0 },
	}
	for name, corrupt := range cases {
		config := Defaults()
		config.Self, config.MessageBytes = "a", messageSize
		corrupt(&config)
		if _, err := NewReplica(config, 0, NewStore(acceptAll{}, 1)); err == nil {
			t.Errorf("invalid %s: no error", name)
		}
	}
	config := Defaults()
	config.Self, config.MessageBytes = "a", messageSize
	if _, err := NewReplica(config, 0, nil); err == nil {
		t.Error("nil store: no error")
	}
}

// TestPublishSendsFirstChangeAtOnceThenBatches checks that the first change is pushed without delay, that the changes of the
// following batch interval share one push, and that known or malformed changes are not pushed.
func TestPublishSendsFirstChangeAtOnceThenBatches(t *testing.T) {
	members := fleetMembers(100, 2, 2)
	r := newTestReplica(t, members, withoutExchanges)
	out, err := r.Publish(time.Second, change("a", 1, 1, "k1", "v"))
	if err != nil || len(pushes(out)) != r.config.FanOut {
		t.Fatalf("%d pushes, error %v", len(pushes(out)), err)
	}
	for i := uint64(2); i <= 4; i++ {
		out, err = r.Publish(time.Second+time.Duration(i)*time.Millisecond, change("a", i, i, fmt.Sprint(i), "v"))
		if err != nil || len(out) != 0 {
			t.Fatalf("%d sends within the batch interval, error %v", len(out), err)
		}
	}
	if due := r.NextTick(); due != time.Second+batchInterval {
		t.Errorf("batch due at %v", due)
	}
	if out := r.Tick(time.Second + batchInterval - 1); len(out) != 0 {
		t.Errorf("%d sends before the batch is due", len(out))
	}
	sent := pushes(r.Tick(time.Second + batchInterval))
	if len(sent) != r.config.FanOut || len(sent[0].Message.Push.Changes) != 3 {
		t.Fatalf("%d pushes of the batch", len(sent))
	}
	if out, err := r.Publish(5*time.Second, change("a", 4, 4, "4", "v")); err != nil || len(out) != 0 {
		t.Errorf("known change: %d sends, error %v", len(out), err)
	}
	if _, err := r.Publish(5*time.Second, change("", 5, 5, "5", "v")); !errors.Is(err, ErrInvalid) {
		t.Errorf("malformed change: error %v", err)
	}
}

// TestPublishRejectsChangeLargerThanPacket checks that a change that no relay could forward is not stored either.
func TestPublishRejectsChangeLargerThanPacket(t *testing.T) {
	r := newTestReplica(t, fleetMembers(3, 1, 1), func(c *Config) { c.MaxPacketBytes = 300 })
	large := change("a", 1, 1, "k", string(make([]byte, 300)))
	if out, err := r.Publish(0, large); !errors.Is(err, ErrInvalid) || len(out) > 0 || len(r.store.Entries()) > 0 {
		t.Errorf("error %v, %d sends, %d entries", err, len(out), len(r.store.Entries()))
	}
}

// TestPartsCoverScopeWithoutOverlap checks that the parts of a holder leave no gap, do not overlap, and have equal counts of members.
func TestPartsCoverScopeWithoutOverlap(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		members := fleetMembers(rapid.IntRange(2, 300).Draw(rt, "members"), rapid.IntRange(1, 3).Draw(rt, "regions"), 2)
		r := newTestReplica(t, members, func(c *Config) {
			withoutExchanges(c)
			c.FanOut = rapid.IntRange(2, 6).Draw(rt, "fan-out")
			c.Seed = rapid.Uint64().Draw(rt, "seed")
		})
		out, err := r.Publish(time.Second, change("a", 1, 1, "k", "v"))
		if err != nil {
			rt.Fatal(err)
		}
		want := min(r.config.FanOut, len(members)-1)
		if len(out) != want {
			rt.Fatalf("%d pushes, want %d", len(out), want)
		}
		covered := map[int]bool{r.selfIndex: true}
		salt := r.deliveries.byDeadline[0].scope.Salt
		for _, d := range r.deliveries.byDeadline {
			found := r.membership.appendInScope(nil, Scope{Salt: salt, Low: d.scope.Low, High: d.scope.High}, r.selfIndex)
			if size := (len(members) - 1) / want; len(found) != size && len(found) != size+1 {
				rt.Fatalf("part holds %d of %d members", len(found), len(members)-1)
			}
			for _, c := range found {
				if covered[c.memberIndex] {
					rt.Fatalf("%s is in two parts", r.membership.members[c.memberIndex].Name)
				}
				covered[c.memberIndex] = true
			}
			if d.tried[0].Name != r.membership.members[found[0].memberIndex].Name {
				rt.Fatal("the holder of a part is not its first member")
			}
		}
		if len(covered) != len(members) {
			rt.Fatalf("%d of %d members are covered", len(covered), len(members))
		}
	})
}

// TestRetryPrefersOtherZones checks the members that are tried for a part that spans zones.
func TestRetryPrefersOtherZones(t *testing.T) {
	r := newTestReplica(t, fleetMembers(41, 1, 4), func(c *Config) {
		withoutExchanges(c)
		c.FanOut = 2
	})
	out, _ := r.Publish(time.Second, change("a", 1, 1, "k", "v"))
	tried := map[uint64][]Member{}
	recordTried := func(sends []OutgoingMessage) {
		for _, send := range pushes(sends) {
			index, _ := r.membership.index(send.To)
			number := send.Message.Push.Number
			tried[number] = append(tried[number], r.membership.members[index])
		}
	}
	recordTried(out)
	for now := time.Second; now < 10*time.Second; now += 50 * time.Millisecond {
		recordTried(r.Tick(now))
	}
	for number, members := range tried {
		if len(members) != r.config.MaxAttempts {
			t.Errorf("push %d: %d attempts", number, len(members))
		}
		if members[0].Zone == members[1].Zone {
			t.Errorf("push %d: the second attempt is in the zone of the first", number)
		}
	}
	if counters := r.Counters(); counters.Abandoned != 2 || counters.Retries != 4 || len(r.deliveries.pendingByNumber) != 0 {
		t.Errorf("counters %+v, %d deliveries pending", counters, len(r.deliveries.pendingByNumber))
	}
}

// TestAcknowledgementEndsDelivery checks that only a member that the part was sent to can end its delivery, and that a late
// acknowledgement from an earlier attempt counts.
func TestAcknowledgementEndsDelivery(t *testing.T) {
	r := newTestReplica(t, fleetMembers(20, 1, 1), withoutExchanges)
	out, _ := r.Publish(time.Second, change("a", 1, 1, "k", "v"))
	for i, send := range out {
		from := send.To
		if i == 0 { // an acknowledgement counts only from a member that the part was sent to
			from = out[1].To
		}
		r.Receive(time.Second, from, Message{Ack: &Ack{Number: send.Message.Push.Number}})
	}
	retried := r.Tick(2 * time.Second)
	if len(retried) != 1 || retried[0].Message.Push.Number != out[0].Message.Push.Number || retried[0].To == out[0].To {
		t.Fatalf("retries: %+v", retried)
	}
	r.Receive(2*time.Second, out[0].To, Message{Ack: &Ack{Number: out[0].Message.Push.Number}}) // late acknowledgement from the first member
	if out := r.Tick(time.Minute); len(out) != 0 || len(r.deliveries.pendingByNumber) != 0 {
		t.Errorf("%d sends after the last acknowledgement", len(out))
	}
}

// TestReceivedPushIsAcknowledgedAndForwardedOnce checks that a push that is sent again, because its acknowledgement was lost, is
// acknowledged again but not forwarded again.
func TestReceivedPushIsAcknowledgedAndForwardedOnce(t *testing.T) {
	members := fleetMembers(60, 2, 2)
	r := newTestReplica(t, members, withoutExchanges)
	from := members[5].Name
	wholeFleet := Scope{Salt: 7, Low: firstPosition, High: lastPosition}
	message := Message{Push: &Push{Number: 3, Scope: wholeFleet, Changes: []Change{change("a", 1, 1, "k", "v")}}}
	applied, out := r.Receive(time.Second, from, message)
	if len(applied) != 1 || len(pushes(out)) != r.config.FanOut || len(out) != r.config.FanOut+1 || out[0].Message.Ack.Number != 3 {
		t.Fatalf("%d applied, sent %+v", len(applied), out)
	}
	applied, out = r.Receive(time.Second, from, message)
	if len(applied) != 0 || len(out) != 1 || out[0].Message.Ack == nil {
		t.Errorf("repeated push: %d applied, sent %+v", len(applied), out)
	}
	message.Push = &Push{Number: 4, Scope: Scope{Salt: 8, Low: wholeFleet.Low, High: wholeFleet.High}, Changes: message.Push.Changes}
	if _, out = r.Receive(time.Second, from, message); len(pushes(out)) == 0 {
		t.Error("known changes of a new scope are not forwarded")
	}
	leaf := Message{Push: &Push{Number: 5, Changes: []Change{change("a", 2, 2, "k", "v")}}}
	if _, out = r.Receive(time.Second, from, leaf); len(out) != 1 || out[0].Message.Ack == nil {
		t.Errorf("leaf: sent %+v", out)
	}
}

// TestFullReplicaForwardsPushes checks that a relay whose store is full still forwards pushes.
func TestFullReplicaForwardsPushes(t *testing.T) {
	members := fleetMembers(10, 1, 1)
	r := newTestReplica(t, members, withoutExchanges)
	r.store.maxEntries = 0
	push := Push{Number: 1, Scope: Scope{Low: firstPosition, High: lastPosition}, Changes: []Change{change("a", 1, 1, "k", "v")}}
	applied, out := r.Receive(time.Second, members[1].Name, Message{Push: &push})
	if len(applied) != 0 || len(pushes(out)) != r.config.FanOut || r.Counters().StoreFull != 1 {
		t.Errorf("%d applied, %d pushes, counters %+v", len(applied), len(pushes(out)), r.Counters())
	}
}

// TestPushWaitsForBytes uses up the byte budget. Pushes first go to fewer members, then wait, and are sent when bytes are
// available.
func TestPushWaitsForBytes(t *testing.T) {
	r := newTestReplica(t, fleetMembers(200, 1, 1), withoutExchanges)
	change1 := change("a", 1, 1, "k1", "v")
	size := r.pushSize([]Change{change1})
	r.sendBudget.take(int(r.sendBudget.capacityBytes-r.ackReserveBytes()) - 2*size)
	out, _ := r.Publish(time.Millisecond, change1)
	if len(out) != 2 {
		t.Fatalf("%d pushes with bytes for two", len(out))
	}
	r.sendBudget.take(int(r.sendBudget.available(time.Millisecond)))
	if out = r.Tick(batchInterval); len(out) != 0 {
		t.Fatalf("%d sends without bytes", len(out))
	}
	if _, err := r.Publish(batchInterval+time.Millisecond, change("a", 2, 2, "k2", "v")); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for range 1000 {
		now := r.NextTick()
		if now > 10*time.Second {
			break
		}
		for _, send := range pushes(r.Tick(now)) {
			if send.Message.Push.Changes[0].Sequence == 2 {
				sent++
			}
		}
	}
	if sent == 0 || len(r.postponed) > 0 || len(r.queue) > 0 {
		t.Errorf("second change sent to %d members, %d pushes postponed, %d changes queued", sent, len(r.postponed), len(r.queue))
	}
	if r.Counters().OverBudget == 0 {
		t.Error("no send counted as over budget")
	}
}

func TestMalformedMessagesAndNonMembersAreDropped(t *testing.T) {
	members := fleetMembers(4, 1, 1)
	r := newTestReplica(t, members, withoutExchanges)
	valid := Message{Push: &Push{Changes: []Change{change("a", 1, 1, "k", "v")}}}
	for _, from := range []string{"stranger", members[0].Name, ""} {
		if applied, out := r.Receive(0, from, valid); len(applied)+len(out) > 0 {
			t.Errorf("from %q: %d applied, %d sent", from, len(applied), len(out))
		}
	}
	if r.Counters().UnknownSenders != 3 {
		t.Errorf("counters %+v", r.Counters())
	}
	tooMany := VersionVector{}
	for i := range maxSources + 1 {
		tooMany[fmt.Sprint(i)] = 1
	}
	one := []Change{change("a", 3, 1, "k", "v")}
	delta := func(d Delta) Message { return Message{Exchange: &Exchange{Deltas: []Delta{d}}} }
	malformed := []Message{
		{},
		{Ack: &Ack{}, Push: valid.Push},
		{Ack: &Ack{}, Exchange: &Exchange{}},
		{Push: &Push{}},
		{Push: &Push{Changes: make([]Change, maxChangesPerMessage+1)}},
		{Push: &Push{Scope: Scope{Low: "b", High: "a"}, Changes: one}},
		{Push: &Push{Scope: Scope{Low: "a", High: "a"}, Changes: one}},
		{Push: &Push{Scope: Scope{Low: "a"}, Changes: one}},
		{Push: &Push{Scope: Scope{High: Position(make([]byte, maxPositionBytes+1))}, Changes: one}},
		{Exchange: &Exchange{Ahead: -1}},
		{Exchange: &Exchange{Versions: tooMany}},
		{Exchange: &Exchange{Versions: VersionVector{"": 1}}},
		{Exchange: &Exchange{Versions: VersionVector{"a": math.MaxUint64}}},
		{Exchange: &Exchange{Deltas: make([]Delta, maxSources+1)}},
		delta(Delta{Source: "a", After: 1, Through: 3}),
		delta(Delta{Source: "b", After: 1, Through: 3, Changes: one}),
		delta(Delta{Source: "a", After: 3, Through: 3, Changes: one}),
		delta(Delta{Source: "a", After: 1, Through: 4, Changes: one}),
		delta(Delta{Source: "a", After: 4, Through: 3, Changes: one}),
		delta(Delta{Source: "a", After: 1, Through: 3, Changes: []Change{one[0], change("a", 2, 1, "k", "v")}}),
		delta(Delta{Source: "a", After: 1, Through: 3, Changes: make([]Change, maxChangesPerMessage+1)}),
	}
	for i, message := range malformed {
		if applied, out := r.Receive(0, members[1].Name, message); len(applied)+len(out) > 0 {
			t.Errorf("message %d: %d applied, %d sent", i, len(applied), len(out))
		}
	}
	if got := r.Counters().Invalid; got != int64(len(malformed)) {
		t.Errorf("%d of %d messages counted as invalid", got, len(malformed))
	}
	if len(r.store.Entries()) > 0 || len(r.store.Versions()) > 0 {
		t.Error("the store has changed")
	}
}

// drawMessage returns any message, well-formed or malformed.
func drawMessage(rt *rapid.T) Message {
	name := rapid.OneOf(rapid.SampledFrom([]string{"a", "b", "\xff"}), rapid.StringN(0, 4, 70))
	number := rapid.OneOf(rapid.Uint64Range(0, 5), rapid.Uint64())
	changes := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Change {
		return Change{Source: name.Draw(rt, "source"), Sequence: number.Draw(rt, "sequence"), Revision: number.Draw(rt, "revision"),
			Key: name.Draw(rt, "key"), Value: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(rt, "value"), Removed: rapid.Bool().Draw(rt, "removed")}
	}), 0, 4)
	var message Message
	if rapid.IntRange(0, 2).Draw(rt, "push") == 0 {
		scope := Scope{Salt: number.Draw(rt, "salt"), Low: Position(name.Draw(rt, "low")), High: Position(name.Draw(rt, "high"))}
		message.Push = &Push{Number: number.Draw(rt, "number"), Scope: scope, Changes: changes.Draw(rt, "changes")}
	}
	if rapid.IntRange(0, 3).Draw(rt, "ack") == 0 {
		message.Ack = &Ack{Number: number.Draw(rt, "number")}
	}
	if rapid.IntRange(0, 1).Draw(rt, "exchange") == 0 {
		message.Exchange = &Exchange{WantsReply: rapid.Bool().Draw(rt, "reply"), Digest: number.Draw(rt, "digest"),
			Ahead:    rapid.IntRange(-1, 3).Draw(rt, "ahead"),
			Versions: rapid.MapOfN(name, number, 0, 4).Draw(rt, "versions")}
		for range rapid.IntRange(0, 2).Draw(rt, "deltas") {
			message.Exchange.Deltas = append(message.Exchange.Deltas, drawDelta(rt, name, number, changes))
		}
	}
	return message
}

// drawDelta returns any delta. In half of the cases its changes have the delta's source and ascending sequences.
func drawDelta(rt *rapid.T, name *rapid.Generator[string], number *rapid.Generator[uint64], changes *rapid.Generator[[]Change]) Delta {
	delta := Delta{Source: name.Draw(rt, "source"), After: number.Draw(rt, "after"), Through: number.Draw(rt, "through"),
		Changes: changes.Draw(rt, "changes")}
	if rapid.Bool().Draw(rt, "well-formed") {
		delta.After %= 100
		for i := range delta.Changes {
			delta.Changes[i].Source, delta.Changes[i].Sequence = delta.Source, delta.After+uint64(i)+1
			delta.Through = delta.Changes[i].Sequence
		}
	}
	return delta
}

// TestNoMessageCausesPanic sends arbitrary messages to one replica and validates the messages that the replica sends.
func TestNoMessageCausesPanic(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		members := fleetMembers(rapid.IntRange(1, 8).Draw(rt, "members"), 2, 2)
		r := newTestReplica(t, members, nil)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "pause"))
			from := members[rapid.IntRange(0, len(members)-1).Draw(rt, "from")].Name
			_, out := r.Receive(now, from, drawMessage(rt))
			out = append(out, r.Tick(now)...)
			for i := range out {
				if size := messageSize(&out[i].Message); size > r.config.MaxPacketBytes || out[i].Message.validate() != nil {
					rt.Fatalf("sent %d bytes, %v: %+v", size, out[i].Message.validate(), out[i].Message)
				}
			}
			if r.NextTick() <= now {
				rt.Fatalf("due at %v after Tick at %v", r.NextTick(), now)
			}
		}
	})
}

// TestExchangeEndsWithUnion runs one exchange between two replicas with different changes.
func TestExchangeEndsWithUnion(t *testing.T) {
	members := fleetMembers(2, 1, 1)
	a := newTestReplica(t, members, nil)
	b := newTestReplica(t, []Member{members[1], members[0]}, nil)
	mustApply(t, a.store, change("x", 1, 1, "k1", "1"), change("x", 2, 3, "k2", "2"))
	mustApply(t, b.store, change("y", 1, 2, "k2", "1"), change("y", 2, 4, "k3", "2"), change("y", 3, 5, "k3", "3"))
	request := a.Tick(time.Second)
	if len(request) != 1 || !request[0].Message.Exchange.WantsReply {
		t.Fatalf("sent %+v", request)
	}
	_, answer := b.Receive(time.Second, members[0].Name, request[0].Message)
	if len(answer) != 1 {
		t.Fatalf("answered %+v", answer)
	}
	_, conclusion := a.Receive(time.Second, members[1].Name, answer[0].Message)
	if len(conclusion) != 1 || len(conclusion[0].Message.Exchange.Versions) > 0 {
		t.Fatalf("conclusion %+v", conclusion)
	}
	if _, more := b.Receive(time.Second, members[0].Name, conclusion[0].Message); len(more) > 0 {
		t.Fatalf("conclusion answered with %+v", more)
	}
	if a.store.Digest() != b.store.Digest() || !equalVersions(a.store.Versions(), b.store.Versions()) {
		t.Errorf("stores differ: vectors %v and %v", a.store.Versions(), b.store.Versions())
	}
	if _, out := b.Receive(2*time.Second, members[0].Name, Message{Exchange: &Exchange{WantsReply: true, Versions: a.store.Versions(),
		Digest: a.store.Digest()}}); len(out) != 0 {
		t.Errorf("replicas with equal stores exchange %+v", out)
	}
}

// TestEmptyReplicaAnswersWithVector checks that a replica without sources can send a version vector in an answer. The vector has
// to name the peer's sources, because a vector without sources compares nothing.
func TestEmptyReplicaAnswersWithVector(t *testing.T) {
	members := fleetMembers(2, 1, 1)
	empty := newTestReplica(t, members, nil)
	_, answer := empty.Receive(0, members[1].Name, Message{Exchange: &Exchange{WantsReply: true, Versions: VersionVector{"x": 4}, Digest: 9}})
	if len(answer) != 1 || len(answer[0].Message.Exchange.Versions) != 1 || answer[0].Message.Exchange.WantsReply {
		t.Errorf("answered %+v", answer)
	}
	if len(empty.store.Versions()) != 0 {
		t.Error("the answer has changed the store's vector")
	}
}

// TestDivergedStoreIsRewoundOnceAMinute gives a replica and its peer equal version vectors and different entries.
func TestDivergedStoreIsRewoundOnceAMinute(t *testing.T) {
	members := fleetMembers(2, 1, 1)
	r := newTestReplica(t, members, nil)
	mustApply(t, r.store, change("x", 1, 1, "k1", "1"))
	r.store.SetVersions(VersionVector{"x": 2})
	same := Message{Exchange: &Exchange{WantsReply: true, Versions: VersionVector{"x": 2}, Digest: 1}}
	_, out := r.Receive(time.Second, members[1].Name, same)
	if len(out) != 1 || out[0].Message.Exchange.Versions["x"] != 2 {
		t.Fatalf("answered %+v", out)
	}
	if r.Counters().Diverged != 1 || r.store.advertisedVersions()["x"] != 2 {
		t.Errorf("counters %+v, advertises %v after the first divergence", r.Counters(), r.store.advertisedVersions())
	}
	r.Receive(time.Second, members[1].Name, same)
	if r.Counters().Diverged != 2 || r.store.advertisedVersions()["x"] != 0 || r.store.Versions()["x"] != 2 {
		t.Errorf("counters %+v, advertises %v after the second divergence", r.Counters(), r.store.advertisedVersions())
	}
	missed := change("x", 2, 2, "k2", "2")
	delta := Delta{Source: "x", After: 0, Through: 2, Changes: []Change{change("x", 1, 1, "k1", "1"), missed}}
	r.Receive(time.Second, members[1].Name, Message{Exchange: &Exchange{Deltas: []Delta{delta}}})
	if _, ok := r.store.Get("k2"); !ok || r.store.advertisedVersions()["x"] != 2 {
		t.Errorf("advertises %v after the delta", r.store.advertisedVersions())
	}
	for range 2 {
		r.Receive(2*time.Second, members[1].Name, same)
	}
	if r.store.advertisedVersions()["x"] != 2 {
		t.Error("rewound twice within a minute")
	}
	r.Receive(time.Second+minRewindInterval, members[1].Name, same)
	if r.store.advertisedVersions()["x"] != 0 || r.Counters().Diverged != 5 || r.Counters().Rewinds != 2 {
		t.Errorf("not rewound after a minute: counters %+v", r.Counters())
	}
}

// TestFirstExchangeIsSoon checks that a relay that starts, or that sees other members for the first time, does not wait for a
// whole exchange interval.
func TestFirstExchangeIsSoon(t *testing.T) {
	members := fleetMembers(3, 1, 1)
	r := newTestReplica(t, members, nil)
	if r.NextTick() > r.config.ExchangeInterval/4 {
		t.Errorf("first exchange due at %v", r.NextTick())
	}
	r.SetMembers(0, members[:1])
	for range 3 {
		r.Tick(r.NextTick())
	}
	if r.Counters().Exchanges != 0 {
		t.Error("exchange counted without other members")
	}
	now := r.NextTick() - r.config.ExchangeInterval/2
	r.SetMembers(now, members)
	if r.NextTick() > now+r.config.ExchangeInterval/4 {
		t.Errorf("exchange due %v after the first members appeared", r.NextTick()-now)
	}
}

// TestBoundGrowsWithItsArguments checks that PropagationBound never falls when the members, the delay or the loss grow.
func TestBoundGrowsWithItsArguments(t *testing.T) {
	config := Defaults()
	if config.PropagationBound(1, time.Second, 0.5) != 0 {
		t.Error("bound of a single relay is not 0")
	}
	proptest.Check(t, func(rt *rapid.T) {
		members := rapid.IntRange(2, 4000).Draw(rt, "members")
		delay := time.Duration(rapid.IntRange(1, 1000).Draw(rt, "delay")) * time.Millisecond
		loss := rapid.Float64Range(0, 0.3).Draw(rt, "loss")
		bound := config.PropagationBound(members, delay, loss)
		if bound < delay || bound > 2*time.Minute {
			rt.Fatalf("bound %v", bound)
		}
		if config.PropagationBound(members, 2*delay, loss) < bound || config.PropagationBound(members*2, delay, loss) < bound ||
			config.PropagationBound(members, delay, loss*1.5) < bound {
			rt.Fatalf("the bound %v falls when an argument grows", bound)
		}
	})
	if bound := config.PropagationBound(maxFleetRelays, 100*time.Millisecond, 0.01); bound > maxTimeToAll {
		t.Errorf("bound of the full fleet %v", bound)
	}
}

// TestLostChangeDoesNotStopRepair leaves a gap that no relay can fill. This happens if the only relay that held a change is
// lost.
func TestLostChangeDoesNotStopRepair(t *testing.T) {
	members := fleetMembers(2, 1, 1)
	a := newTestReplica(t, members, nil)
	b := newTestReplica(t, []Member{members[1], members[0]}, nil)
	const lost, newest = 2, 200
	for i := uint64(1); i <= newest; i++ {
		c := change("x", i, i, fmt.Sprint(i), "v")
		if i == lost {
			continue
		}
		mustApply(t, a.store, c)
		if i != 50 && i != 199 {
			mustApply(t, b.store, c)
		}
	}
	now := time.Duration(0)
	for a.store.Digest() != b.store.Digest() {
		now = b.NextTick()
		if now > 10*time.Minute {
			t.Fatalf("stores not equal after %v", now)
		}
		for _, send := range b.Tick(now) {
			_, out := a.Receive(now, members[1].Name, send.Message)
			for _, answer := range out {
				b.Receive(now, members[0].Name, answer.Message)
			}
		}
	}
	t.Logf("stores equal after %v", now)
	if got := b.store.Versions()["x"]; got != lost-1 {
		t.Errorf("watermark %d passed the gap", got)
	}
}
