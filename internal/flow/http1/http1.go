// Package http1 is the HTTP/1.1 codec of the relay: a request encoder, and a response parser that is fed bytes and does not use a socket.
// Exchange, in a file of its own, performs single calls on a connection.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	// MaxHeadBytes bounds the bytes of the status line and the headers of a response, including interim responses.
	MaxHeadBytes = 16 << 10
	// MaxDiscardBytes bounds a body that is discarded. A longer body is an error, so the connection is not reused.
	MaxDiscardBytes = 256 << 10
)

// Field is one header field.
type Field struct{ Name, Value string }

// AppendRequest appends an encoded request to dst.
func AppendRequest(dst []byte, method, target, host string, fields []Field, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	dst = append(dst, "\r\n"...)
	for _, f := range fields {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	if method != "GET" {
		dst = append(dst, "Content-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
		dst = append(dst, "\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

type state int

const (
	statusLine state = iota
	headerLine
	fixedBody
	chunkSize
	chunkData
	chunkEnd
	trailer
	untilClose
	done
)

// Response parses one response. The zero value discards the body. MaxBodyBytes, if set, keeps a body of up to that size; a longer body is
// an error.
type Response struct {
	MaxBodyBytes int
	Status       int // 0 until the status line is complete
	Body         []byte

	state      state
	headBytes  int
	line       []byte
	fields     []Field
	remaining  int64
	bodyBytes  int64
	closeAfter bool
	err        error
}

// Feed parses b and returns how many bytes belong to this response. After an error the response is unusable.
func (r *Response) Feed(b []byte) (int, error) {
	n := 0
	for n < len(b) && r.state != done && r.err == nil {
		switch r.state {
		case fixedBody, chunkData, untilClose:
			part := b[n:]
			if r.state != untilClose && int64(len(part)) > r.remaining {
				part = part[:r.remaining]
			}
			n += len(part)
			r.remaining -= int64(len(part))
			r.takeBody(part)
			if r.remaining == 0 && r.state == fixedBody {
				r.state = done
			} else if r.remaining == 0 && r.state == chunkData {
				r.state = chunkEnd
			}
		default:
			end := bytes.IndexByte(b[n:], '\n')
			part := b[n:]
			if end >= 0 {
				part = part[:end+1]
			}
			n += len(part)
			if r.headBytes += len(part); r.headBytes > MaxHeadBytes {
				r.err = errors.New("http1: response head too long")
				break
			}
			r.line = append(r.line, part...)
			if end >= 0 {
				line := strings.TrimSuffix(string(r.line[:len(r.line)-1]), "\r")
				r.line = r.line[:0]
				r.err = r.handleLine(line)
			}
		}
	}
	return n, r.err
}

// End reports to the parser that the connection has ended. It returns an error if the response is incomplete.
func (r *Response) End() error {
	if r.state == untilClose && r.err == nil {
		r.state = done
	}
	if r.state != done && r.err == nil {
		r.err = io.ErrUnexpectedEOF
	}
	return r.err
}

// HeadDone reports whether the status line and the headers are complete.
func (r *Response) HeadDone() bool { return r.state >= fixedBody }

// Underway reports whether part of a response, or of an interim response, has arrived and the rest has not.
func (r *Response) Underway() bool {
	return r.state != done && (r.state != statusLine || len(r.line) > 0)
}

// Done reports whether the response is complete.
func (r *Response) Done() bool { return r.state == done }

// Reusable reports whether the response is complete and the connection may carry another call.
func (r *Response) Reusable() bool { return r.state == done && !r.closeAfter }

// Header returns the value of the first header with this name, ignoring case.
func (r *Response) Header(name string) string {
	for _, f := range r.fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

func (r *Response) takeBody(part []byte) {
	r.bodyBytes += int64(len(part))
	if r.MaxBodyBytes > 0 {
		r.Body = append(r.Body, part...)
	}
	if limit := int64(max(r.MaxBodyBytes, MaxDiscardBytes)); r.bodyBytes > limit || r.MaxBodyBytes > 0 && r.bodyBytes > int64(r.MaxBodyBytes) {
		r.err = errors.New("http1: response body too long")
	}
}

func (r *Response) handleLine(line string) error {
	switch r.state {
	case statusLine:
		proto, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if !strings.HasPrefix(proto, "HTTP/1.") || err != nil || len(code) != 3 || status < 100 {
			return fmt.Errorf("http1: malformed status line: %.40q", line)
		}
		if status >= 200 {
			r.Status = status
		}
		r.closeAfter = proto == "HTTP/1.0"
		r.state = headerLine
		r.remaining = int64(status) // keeps the status until the end of the headers, where interim and final responses differ
	case headerLine:
		if line != "" {
			name, value, ok := strings.Cut(line, ":")
			if !ok || name == "" || strings.ContainsAny(name, " \t") {
				return fmt.Errorf("http1: malformed header: %.40q", line)
			}
			r.fields = append(r.fields, Field{name, strings.TrimSpace(value)})
			return nil
		}
		if r.remaining < 200 {
			r.fields, r.state = nil, statusLine
			return nil
		}
		return r.startBody()
	case chunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("http1: malformed chunk size: %.40q", line)
		}
		if r.remaining, r.state = int64(n), chunkData; n == 0 {
			r.state = trailer
		}
		r.headBytes = 0 // MaxHeadBytes bounds one head, not the sum of all chunk size lines
	case chunkEnd:
		if line != "" {
			return errors.New("http1: chunk data exceeds the chunk size")
		}
		r.state = chunkSize
	case trailer:
		if line == "" {
			r.state = done
		}
	}
	return nil
}

func (r *Response) startBody() error {
	if connection := strings.ToLower(r.Header("Connection")); strings.Contains(connection, "close") {
		r.closeAfter = true
	} else if strings.Contains(connection, "keep-alive") {
		r.closeAfter = false
	}
	length := r.Header("Content-Length")
	for _, f := range r.fields {
		if strings.EqualFold(f.Name, "Content-Length") && f.Value != length {
			return fmt.Errorf("http1: conflicting Content-Length: %.40q and %.40q", length, f.Value)
		}
	}
	switch {
	case r.Status == 204 || r.Status == 304:
		r.state = done
	case strings.EqualFold(r.Header("Transfer-Encoding"), "chunked"):
		r.state = chunkSize
	case length != "":
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return fmt.Errorf("http1: malformed Content-Length: %.40q", length)
		}
		if r.remaining, r.state = int64(n), fixedBody; n == 0 {
			r.state = done
		}
	default:
		r.state, r.closeAfter = untilClose, true
	}
	return nil
}
