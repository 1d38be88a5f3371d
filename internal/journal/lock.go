package journal

import (
	"errors"
	"log/slog"
	"os"
	"syscall"

	"slatemux/internal/syserror"
)

// lock takes the exclusive lock of a file that this process has just created. No other process has opened the file yet.
func lock(f file) error {
	err := tryLock(f)
	if err != nil && !lockedByOther(err) && !syserror.IsTemporary(err) {
		// Without file locks the journal still works, if only one process at a time uses the folder.
		slog.Warn("journal not locked: no locks of files here", "err", err)
		return nil
	}
	return err
}

// flock is the system call, which tests replace.
var flock = syscall.Flock

// tryLock takes the lock of a file, or returns an error at once.
func tryLock(f interface{ Fd() uintptr }) (err error) {
	for err = flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); errors.Is(err, syscall.EINTR); {
		err = flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	}
	return err
}

// lockedByOther reports whether locking failed because another process holds the lock. Any other error means that the system
// does not support file locks.
func lockedByOther(err error) bool {
	return errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EAGAIN)
}

// lockIfOrphan opens a file and locks it, unless a running process holds the lock. A lock belongs to the file, not to its name.
// If another file has taken the name in the meantime, lockIfOrphan leaves both files alone and returns false.
func lockIfOrphan(path string) (*os.File, bool) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false
	}
	if err = tryLock(f); err != nil && (lockedByOther(err) || syserror.IsTemporary(err)) {
		f.Close() // its process is running, or that is not known yet
		return nil, false
	}
	opened, err1 := f.Stat()
	named, err2 := os.Stat(path)
	if err1 != nil || err2 != nil || !os.SameFile(opened, named) {
		f.Close()
		return nil, false
	}
	return f, true
}
