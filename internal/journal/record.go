package journal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"time"

	"slatemux/internal/traffic"
)

// A record consists of the length of the payload, the checksum of the payload (four bytes each, little-endian) and the payload.
// The payload consists of a kind and the fields of that kind. Numbers are varints, strings are preceded by their length, times
// are Unix microseconds of the clock that clock.go describes.

// summary replaces the records of an open transaction's flows in a compacted file.
type summary struct {
	id        string
	attempts  int
	firstSent time.Time
	inFlight  bool
	flowBegun time.Time
}

// kind is the type of a record: the first byte of its payload. The values are part of the file format.
type kind = byte

const (
	kindAccepted kind = iota + 1
	kindFlowBegun
	kindFlowEnded
	kindEnded
	kindAnswered
	kindSummary
)

const (
	headerBytes = 8
	// fileBufferBytes is the size of the buffer through which a file is read, or written by a compaction.
	fileBufferBytes = 64 << 10
	// maxPayloadBytes is the largest payload that decode accepts.
	maxPayloadBytes = traffic.MaxBody + 4096
)

var errInvalidRecord = errors.New("journal: record is truncated or corrupt")

// maxSummaryBytes returns an upper bound of the size of the summary record of a transaction.
func maxSummaryBytes(id string) int64 {
	return int64(headerBytes + len(id) + 2 + 4*binary.MaxVarintLen64)
}

// unixMicro encodes a time; the zero time becomes 0.
func unixMicro(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// appendText appends the length of s and s.
func appendText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// boolToInt encodes true as 1 and false as 0.
func boolToInt(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// appendChange appends the record of one change or summary.
func appendChange(b []byte, ch any) []byte {
	start := len(b)
	b = append(b, make([]byte, headerBytes)...)
	appendHead := func(k kind, id string, numbers ...int64) {
		b = appendText(append(b, k), id)
		for _, n := range numbers {
			b = binary.AppendVarint(b, n)
		}
	}
	switch ch := ch.(type) {
	case traffic.TransactionAccepted:
		t := &ch.Transaction
		appendHead(kindAccepted, t.ID, int64(t.Destination), unixMicro(t.Deadline))
		b = appendText(appendText(appendText(b, t.Class), t.Tenant), t.IdempotencyKey)
		b = appendText(b, t.Body)
		if t.OrderKey != "" { // without an order the record is the same as before the field existed
			b = appendText(b, t.OrderKey)
		}
	case traffic.FlowStarted:
		appendHead(kindFlowBegun, ch.ID, int64(ch.Attempt), unixMicro(ch.At))
	case traffic.FlowEnded:
		appendHead(kindFlowEnded, ch.ID, int64(ch.Attempt), boolToInt(ch.MayHaveRun))
	case traffic.Ended:
		n := traffic.Notice{}
		if ch.Notice != nil {
			n = *ch.Notice
		}
		appendHead(kindEnded, ch.ID, int64(n.Outcome), n.RetryIn.Microseconds())
		if n.OrderKey != "" { // without an order the record is the same as before the field existed
			b = appendText(b, n.OrderKey)
		}
	case traffic.NoticeAnswered:
		appendHead(kindAnswered, ch.ID)
	case summary:
		appendHead(kindSummary, ch.id, int64(ch.attempts), unixMicro(ch.firstSent), boolToInt(ch.inFlight), unixMicro(ch.flowBegun))
	}
	payload := b[start+headerBytes:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.ChecksumIEEE(payload))
	return b
}

// payloadReader decodes the fields of a payload. After the first field that cannot be decoded it sets invalid and returns zero
// values.
type payloadReader struct {
	b       []byte
	invalid bool
}

// number decodes a varint.
func (r *payloadReader) number() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.b, r.invalid = nil, true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// time decodes a time in Unix microseconds; 0 is the zero time.
func (r *payloadReader) time() time.Time {
	if us := r.number(); us != 0 {
		return time.UnixMicro(us)
	}
	return time.Time{}
}

// bytes decodes a byte string that is preceded by its length. The result shares memory with the payload.
func (r *payloadReader) bytes() []byte {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > uint64(len(r.b)-n) {
		r.b, r.invalid = nil, true
		return nil
	}
	s := r.b[n : n+int(v)]
	r.b = r.b[n+int(v):]
	return s
}

// decode decodes the first record of b. It returns the change or summary and the length of the record in bytes. The result
// shares no memory with b.
func decode(b []byte) (any, int, error) {
	if len(b) < headerBytes {
		return nil, 0, errInvalidRecord
	}
	size := int64(binary.LittleEndian.Uint32(b))
	if size < 1 || size > maxPayloadBytes || size > int64(len(b)-headerBytes) {
		return nil, 0, errInvalidRecord
	}
	payload := b[headerBytes : headerBytes+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, errInvalidRecord
	}
	r := &payloadReader{b: payload[1:]}
	id := string(r.bytes())
	var ch any
	switch payload[0] {
	case kindAccepted:
		t := traffic.Transaction{ID: id, Destination: int(r.number()), Deadline: r.time()}
		t.Class, t.Tenant, t.IdempotencyKey = string(r.bytes()), string(r.bytes()), string(r.bytes())
		t.Body = append([]byte(nil), r.bytes()...)
		if len(r.b) > 0 {
			t.OrderKey = string(r.bytes())
		}
		ch = traffic.TransactionAccepted{Transaction: t}
	case kindFlowBegun:
		ch = traffic.FlowStarted{ID: id, Attempt: int(r.number()), At: r.time()}
	case kindFlowEnded:
		ch = traffic.FlowEnded{ID: id, Attempt: int(r.number()), MayHaveRun: r.number() == 1}
	case kindEnded:
		n := traffic.Notice{ID: id, Outcome: traffic.NoticeOutcome(r.number()),
			RetryIn: time.Duration(r.number()) * time.Microsecond}
		if len(r.b) > 0 {
			n.OrderKey = string(r.bytes())
		}
		ended := traffic.Ended{ID: id}
		if n.Outcome != 0 {
			ended.Notice = &n
		}
		ch = ended
	case kindAnswered:
		ch = traffic.NoticeAnswered{ID: id}
	case kindSummary:
		ch = summary{id: id, attempts: int(r.number()), firstSent: r.time(), inFlight: r.number() == 1, flowBegun: r.time()}
	default:
		return nil, 0, errInvalidRecord
	}
	if r.invalid || len(r.b) > 0 {
		return nil, 0, errInvalidRecord
	}
	return ch, headerBytes + int(size), nil
}

// readRecords calls use for each change or summary in the first size bytes of a file, up to the first invalid record: a process that ends
// during a write leaves a truncated one, and all records before it are complete. It returns the number of valid bytes. It holds one record at
// a time, since a file may be larger than the memory of the process. The error is that of a read.
func readRecords(f io.ReaderAt, size int64, use func(ch any)) (valid int64, err error) {
	input := bufio.NewReaderSize(io.NewSectionReader(f, 0, size), fileBufferBytes)
	var record []byte
	for valid < size {
		header, err := input.Peek(headerBytes)
		if err != nil {
			return valid, ignoreEOF(err)
		}
		payloadBytes := int64(binary.LittleEndian.Uint32(header))
		if payloadBytes > maxPayloadBytes {
			return valid, nil
		}
		record = slices.Grow(record[:0], headerBytes+int(payloadBytes))[:headerBytes+payloadBytes]
		if _, err := io.ReadFull(input, record); err != nil {
			return valid, ignoreEOF(err)
		}
		ch, n, err := decode(record)
		if err != nil {
			return valid, nil
		}
		use(ch)
		valid += int64(n)
	}
	return valid, nil
}

// ignoreEOF returns nil for the end of the input, and otherwise the error.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return fmt.Errorf("journal: %w", err)
}
