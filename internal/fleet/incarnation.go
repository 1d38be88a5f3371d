package fleet

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"slatemux/internal/verdicts"
)

const (
	// incarnationFile holds the number of starts of this relay, in its state directory.
	incarnationFile = "fleet-starts"
	// incarnationBits bounds the bit length of the number that is read from incarnationFile.
	incarnationBits = 62
	// firstIncarnation is the incarnation of the first start, and of a start at which the file cannot be read.
	firstIncarnation = 1
)

// nextIncarnation adds one to the number of starts and saves it. If the file is lost, the number starts at 1 again, and
// other members answer with the higher incarnation that they know.
func nextIncarnation(dir string) (uint64, error) {
	raw, err := os.ReadFile(filepath.Join(dir, incarnationFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return firstIncarnation, err
	}
	// The content of an incomplete file counts as 0.
	previous, _ := strconv.ParseUint(strings.TrimSpace(string(raw)), 10, incarnationBits)
	incarnation := previous + 1
	return incarnation, saveIncarnation(dir, incarnation)
}

// saveIncarnation replaces the incarnation file atomically.
func saveIncarnation(dir string, incarnation uint64) error {
	path := filepath.Join(dir, incarnationFile)
	temporary := path + ".new"
	text := strconv.FormatUint(incarnation, 10) + "\n"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// supersede switches to an incarnation above the one that another member knows for this relay's name. Another process has
// used the name, or the incarnation file was lost. supersede does nothing for a version that this process has announced.
func (f *Fleet) supersede(now time.Duration, known verdicts.Version) {
	if !f.announcer.Supersede(known) {
		return
	}
	incarnation := f.announcer.Incarnation()
	slog.Warn("fleet: another start under this name is known", "incarnation", incarnation)
	f.spread.SetIncarnation(incarnation)
	f.mayHaveLent = true
	if f.allocator != nil {
		// The sequence numbers of the new allocator are above those that other members have seen.
		f.startAllocator(now, f.spread.LiveMembers())
	}
	if err := saveIncarnation(f.cfg.StateDir, incarnation); err != nil {
		slog.Warn("fleet: incarnation not saved", "err", err)
	}
}
