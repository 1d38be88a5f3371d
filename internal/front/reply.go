package front

import (
	"strconv"

	"github.com/tidwall/redcon"

	"slatemux/internal/traffic"
)

// replyBuffer holds the answers of one connection that are not written yet, in the order of their commands.
type replyBuffer struct {
	bytes     []byte
	fullBytes int // the buffer is written once it holds this many bytes
}

// isEmpty reports whether no answer waits.
func (r *replyBuffer) isEmpty() bool { return len(r.bytes) == 0 }

// isFull reports whether the answers are to be written before another command is handled.
func (r *replyBuffer) isFull() bool { return len(r.bytes) >= r.fullBytes }

// take empties the buffer and returns its content, which is valid until the next answer is added.
func (r *replyBuffer) take() []byte {
	content := r.bytes
	r.bytes = r.bytes[:0]
	return content
}

// text adds a simple string.
func (r *replyBuffer) text(s string) { r.bytes = redcon.AppendString(r.bytes, s) }

// error adds an error.
func (r *replyBuffer) error(s string) { r.bytes = redcon.AppendError(r.bytes, s) }

// bulk adds a bulk string.
func (r *replyBuffer) bulk(b []byte) { r.bytes = redcon.AppendBulk(r.bytes, b) }

// bulkHeader adds what precedes the n bytes of a bulk string. lineEnd has to follow them.
func (r *replyBuffer) bulkHeader(n int) {
	r.bytes = append(strconv.AppendInt(append(r.bytes, '$'), int64(n), 10), "\r\n"...)
}

// lineEnd adds the end of a line.
func (r *replyBuffer) lineEnd() { r.bytes = append(r.bytes, "\r\n"...) }

// answer adds the answer to a submission.
func (r *replyBuffer) answer(a traffic.Answer) {
	switch a.Verdict {
	case traffic.Accepted:
		r.text("OK")
	case traffic.Busy:
		reply := "BUSY"
		if a.RetryIn > 0 {
			reply += " " + strconv.FormatInt(max(a.RetryIn.Milliseconds(), 1), 10)
		}
		r.error(reply)
	default:
		r.error("ERR failed")
	}
}
