// Package syserror tells errors of the system that pass by themselves from those that need a change by an operator.
package syserror

import (
	"errors"

	"golang.org/x/sys/unix"
)

// temporary holds the errors of files, locks, sockets and memory that Linux documents for a lack of resources, an interruption or a disk fault.
var temporary = []error{unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.EINTR, unix.EAGAIN, unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.ENOBUFS, unix.ENOLCK}

// IsTemporary reports whether the same operation may succeed later without any change to the configuration.
func IsTemporary(err error) bool {
	for _, t := range temporary {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
