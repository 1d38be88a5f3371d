package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Exchange writes a request and reads its answer, of which it keeps up to keep bytes. The answer must have begun by the
// first deadline, and be whole by the second. With an error comes what there is of the answer.
func Exchange(nc net.Conn, request []byte, maxBodyBytes int, firstByteBy, completeBy time.Time) (*Response, error) {
	r, buf := &Response{MaxBodyBytes: maxBodyBytes}, make([]byte, 16<<10)
	if err := nc.SetDeadline(firstByteBy); err != nil {
		return r, fmt.Errorf("http1: %w", err)
	}
	if _, err := nc.Write(request); err != nil {
		return r, fmt.Errorf("http1: write: %w", err)
	}
	for !r.Done() {
		n, err := nc.Read(buf)
		if n > 0 && firstByteBy != completeBy {
			firstByteBy = completeBy
			if err := nc.SetDeadline(completeBy); err != nil {
				return r, fmt.Errorf("http1: %w", err)
			}
		}
		if _, feedErr := r.Feed(buf[:n]); feedErr != nil {
			return r, feedErr
		}
		if err != nil && !r.Done() {
			if errors.Is(err, io.EOF) && r.End() == nil {
				break
			}
			return r, fmt.Errorf("http1: read: %w", err)
		}
	}
	return r, nil
}
