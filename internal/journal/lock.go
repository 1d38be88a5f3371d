package journal

import (
	"errors"
	"log/slog"
	"os"
	"syscall"
)

// lock takes the exclusive lock of a file that this process has just made; nobody else knows it yet.
func lock(f *os.File) error {
	err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil && !held(err) {
		// Where the system gives no locks of files, one process uses the folder at a time: it works without.
		slog.Warn("journal not locked: no locks of files here", "err", err)
		return nil
	}
	return err
}

// held says that a lock failed for another holder; any other failure is a system without such locks.
func held(err error) bool {
	return errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EAGAIN)
}

// lockIfOrphan opens a file and takes its lock, where no living process holds it. The lock belongs to the
// file, not to its name: a file that was replaced under the name while we waited is not the one named, and is
// left to its owner.
func lockIfOrphan(path string) (*os.File, bool) {
	f, err := os.Open(path)
	if err != nil {
		return nil, false
	}
	if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil && held(err) {
		f.Close() // its process lives
		return nil, false
	}
	held, err1 := f.Stat()
	named, err2 := os.Stat(path)
	if err1 != nil || err2 != nil || !os.SameFile(held, named) {
		f.Close()
		return nil, false
	}
	return f, true
}
