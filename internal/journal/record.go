package journal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"slatemux/internal/traffic"
)

// A record is the length of its payload and its checksum, four bytes each, and the payload: a kind and its
// fields. Numbers are varints, texts have their length before them, times are Unix microseconds.

// summary stands in a compacted file for the flows of an open transaction.
type summary struct {
	id        string
	attempts  int
	firstSent time.Time
	out       bool
	begun     time.Time
}

type kind = byte

const (
	kindTaken kind = iota + 1
	kindFlowBegun
	kindFlowEnded
	kindEnded
	kindAnswered
	kindSummary
)

const (
	header    = 8
	maxRecord = traffic.MaxBody + 4096
)

var errRecord = errors.New("journal: bad record")

func summarySize(id string) int64 { return int64(header + len(id) + 2 + 4*binary.MaxVarintLen64) }

func unixMicro(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func flag(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// appendChange encodes one change as a record.
func appendChange(b []byte, ch any) []byte {
	at := len(b)
	b = append(b, make([]byte, header)...)
	head := func(k kind, id string, numbers ...int64) {
		b = appendText(append(b, k), id)
		for _, n := range numbers {
			b = binary.AppendVarint(b, n)
		}
	}
	switch ch := ch.(type) {
	case traffic.Taken:
		t := &ch.Transaction
		head(kindTaken, t.ID, int64(t.Destination), unixMicro(t.Deadline))
		b = appendText(appendText(appendText(b, t.Class), t.Tenant), t.Key)
		b = appendText(b, t.Body)
		if t.Order != "" { // else the record is as it always was
			b = appendText(b, t.Order)
		}
	case traffic.FlowBegun:
		head(kindFlowBegun, ch.ID, int64(ch.Attempt), unixMicro(ch.At))
	case traffic.FlowEnded:
		head(kindFlowEnded, ch.ID, int64(ch.Attempt), flag(ch.MayHaveRun))
	case traffic.Ended:
		n := traffic.Notice{}
		if ch.Notice != nil {
			n = *ch.Notice
		}
		head(kindEnded, ch.ID, int64(n.Outcome), n.RetryIn.Microseconds())
		if n.Order != "" { // else the record is as it always was
			b = appendText(b, n.Order)
		}
	case traffic.Answered:
		head(kindAnswered, ch.ID)
	case summary:
		head(kindSummary, ch.id, int64(ch.attempts), unixMicro(ch.firstSent), flag(ch.out), unixMicro(ch.begun))
	}
	payload := b[at+header:]
	binary.LittleEndian.PutUint32(b[at:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[at+4:], crc32.ChecksumIEEE(payload))
	return b
}

// reader takes a payload apart; after the first misfit it yields noughts and bad is set.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.b, r.bad = nil, true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) time() time.Time {
	if us := r.number(); us != 0 {
		return time.UnixMicro(us)
	}
	return time.Time{}
}

func (r *reader) bytes() []byte {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > uint64(len(r.b)-n) {
		r.b, r.bad = nil, true
		return nil
	}
	s := r.b[n : n+int(v)]
	r.b = r.b[n+int(v):]
	return s
}

// decode reads the first record of b and says how long it is. What it returns shares no memory with b.
func decode(b []byte) (any, int, error) {
	if len(b) < header {
		return nil, 0, errRecord
	}
	size := int64(binary.LittleEndian.Uint32(b))
	if size < 1 || size > maxRecord || size > int64(len(b)-header) {
		return nil, 0, errRecord
	}
	payload := b[header : header+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, errRecord
	}
	r := &reader{b: payload[1:]}
	id := string(r.bytes())
	var ch any
	switch payload[0] {
	case kindTaken:
		t := traffic.Transaction{ID: id, Destination: int(r.number()), Deadline: r.time()}
		t.Class, t.Tenant, t.Key = string(r.bytes()), string(r.bytes()), string(r.bytes())
		t.Body = append([]byte(nil), r.bytes()...)
		if len(r.b) > 0 {
			t.Order = string(r.bytes())
		}
		ch = traffic.Taken{Transaction: t}
	case kindFlowBegun:
		ch = traffic.FlowBegun{ID: id, Attempt: int(r.number()), At: r.time()}
	case kindFlowEnded:
		ch = traffic.FlowEnded{ID: id, Attempt: int(r.number()), MayHaveRun: r.number() == 1}
	case kindEnded:
		n := traffic.Notice{ID: id, Outcome: traffic.NoticeOutcome(r.number()),
			RetryIn: time.Duration(r.number()) * time.Microsecond}
		if len(r.b) > 0 {
			n.Order = string(r.bytes())
		}
		ended := traffic.Ended{ID: id}
		if n.Outcome != 0 {
			ended.Notice = &n
		}
		ch = ended
	case kindAnswered:
		ch = traffic.Answered{ID: id}
	case kindSummary:
		ch = summary{id: id, attempts: int(r.number()), firstSent: r.time(), out: r.number() == 1, begun: r.time()}
	default:
		return nil, 0, errRecord
	}
	if r.bad || len(r.b) > 0 {
		return nil, 0, errRecord
	}
	return ch, header + int(size), nil
}
