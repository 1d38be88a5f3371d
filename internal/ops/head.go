package ops

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

const (
	// maxHeadBytes bounds a request line and its fields.
	maxHeadBytes = 8 << 10
	// maxKeptBytes bounds the part of a head that the server uses.
	maxKeptBytes = 2 << 10
)

var errHeadTooLarge = errors.New("ops: request head too large")

// usedFields are the header fields that the handlers or the server of net/http use. Others are dropped as they arrive.
var usedFields = []string{"host", "content-length", "transfer-encoding", "content-type", "expect", "connection"}

// requestHead is the head of a request as the server gets it.
type requestHead struct {
	kept    []byte // the request line, the fields in use, the empty line, and what has arrived behind it
	hasBody bool
}

// headReadBytes is the size of one read of a head.
const headReadBytes = 512

// readHead reads a head, line by line. It keeps the request line and the fields in use.
func readHead(r io.Reader) (head requestHead, err error) {
	var buffer [headReadBytes]byte
	var line []byte // the current line as far as it is kept
	total, first, dropped := 0, true, false
	for {
		n, err := r.Read(buffer[:])
		if err != nil && n == 0 {
			return head, err
		}
		for i, b := range buffer[:n] {
			if total++; total > maxHeadBytes {
				return head, errHeadTooLarge
			}
			if b != '\n' {
				if !dropped {
					line = append(line, b)
				}
				if !first && !dropped && !mayBeUsed(line) {
					dropped = true
				}
				if len(head.kept)+len(line) > maxKeptBytes {
					return head, errHeadTooLarge
				}
				continue
			}
			blank := !dropped && len(bytes.TrimRight(line, "\r")) == 0
			if !dropped {
				head.kept = append(append(head.kept, line...), '\n')
				head.hasBody = head.hasBody || !first && announcesBody(line)
			}
			if blank && !first {
				head.kept = append(head.kept, buffer[i+1:n]...)
				return head, nil
			}
			first, dropped, line = first && blank, false, line[:0]
		}
	}
}

// mayBeUsed reports whether a header line, as far as it has arrived, may be that of a field in use.
func mayBeUsed(line []byte) bool {
	name, _, complete := strings.Cut(strings.ToLower(string(line)), ":")
	name = strings.TrimRight(name, "\r")
	for _, used := range usedFields {
		if name == used || !complete && strings.HasPrefix(used, name) {
			return true
		}
	}
	return false
}

// announcesBody reports whether a header line announces a body.
func announcesBody(line []byte) bool {
	name, value, _ := strings.Cut(strings.ToLower(string(line)), ":")
	return name == "transfer-encoding" || name == "content-length" && strings.TrimSpace(value) != "0"
}
