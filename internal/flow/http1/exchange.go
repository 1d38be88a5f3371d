package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Exchange writes a request and reads its response, keeping up to maxBodyBytes of the body. The first byte of the response must arrive by
// firstByteBy, and the complete response by completeBy. A response with bytes behind it is not reusable. On an error Exchange also returns the part of the response that was read.
func Exchange(nc net.Conn, request []byte, maxBodyBytes int, firstByteBy, completeBy time.Time) (*Response, error) {
	if err := nc.SetDeadline(firstByteBy); err != nil {
		return &Response{}, fmt.Errorf("http1: set deadline: %w", err)
	}
	if _, err := nc.Write(request); err != nil {
		return &Response{}, fmt.Errorf("http1: write request: %w", err)
	}
	return ReadResponse(nc, maxBodyBytes, firstByteBy, completeBy)
}

// ReadResponse reads the response to a request that was written before, as Exchange does.
func ReadResponse(nc net.Conn, maxBodyBytes int, firstByteBy, completeBy time.Time) (*Response, error) {
	r, buf := &Response{MaxBodyBytes: maxBodyBytes}, make([]byte, 16<<10)
	if err := nc.SetDeadline(firstByteBy); err != nil {
		return r, fmt.Errorf("http1: set deadline: %w", err)
	}
	for !r.Done() {
		n, err := nc.Read(buf)
		if n > 0 && firstByteBy != completeBy {
			firstByteBy = completeBy
			if err := nc.SetDeadline(completeBy); err != nil {
				return r, fmt.Errorf("http1: set deadline: %w", err)
			}
		}
		used, feedErr := r.Feed(buf[:n])
		if feedErr != nil {
			return r, feedErr
		}
		if used < n { // a second answer, which belongs to no request
			r.closeAfter = true
		}
		if err != nil && !r.Done() {
			if errors.Is(err, io.EOF) && r.End() == nil {
				break
			}
			return r, fmt.Errorf("http1: read response: %w", err)
		}
	}
	return r, nil
}
