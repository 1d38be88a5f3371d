package lab

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// successorTimeout bounds the time from the start of a second process to its readiness.
	successorTimeout = 6 * time.Second
	// readinessInterval is the time between two looks at the readiness of a process.
	readinessInterval = 50 * time.Millisecond
	// folderInterval is the time between two looks at the size of a folder.
	folderInterval = 5 * time.Millisecond
)

// StartBeside starts a relay that shares the client address and the folders of a running one, with an admin endpoint of its own, whose
// address it returns. tmp is the folder that both have as $TMPDIR.
func (d *Deployment) StartBeside(binary, tmp string) (p *Process, ops string, err error) {
	if ops, err = FreePort(); err != nil {
		return nil, "", err
	}
	p, err = d.StartRelayWithEnv(binary, nil, []string{"TMPDIR=" + tmp, "NODE_OPS=" + ops}, "")
	return p, ops, err
}

// StartSuccessor starts a relay beside a running one and returns once it is ready.
func (d *Deployment) StartSuccessor(binary, tmp string) (*Process, error) {
	p, ops, err := d.StartBeside(binary, tmp)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(successorTimeout); !isReady(ops); time.Sleep(readinessInterval) {
		if time.Now().After(deadline) {
			p.Kill()
			return nil, fmt.Errorf("lab: the successor did not become ready\n%s", p.Log())
		}
	}
	return p, nil
}

// isReady reports whether the admin endpoint at addr answers that the relay is ready.
func isReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/ops/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// FolderWatch follows the size of the files in a folder.
type FolderWatch struct {
	dir     string
	ended   chan struct{}
	end     func() // closes ended, once
	looking sync.WaitGroup
	peak    int64
}

// WatchFolder begins to follow the size of a folder.
func WatchFolder(dir string) *FolderWatch {
	w := &FolderWatch{dir: dir, ended: make(chan struct{})}
	w.end = sync.OnceFunc(func() { close(w.ended) })
	w.looking.Go(w.follow)
	return w
}

// Stop ends the watch and returns the largest size seen, in bytes.
func (w *FolderWatch) Stop() int64 {
	w.end()
	w.looking.Wait()
	return w.peak
}

// follow looks at the folder until the watch is ended.
func (w *FolderWatch) follow() {
	for {
		w.peak = max(w.peak, folderBytes(w.dir))
		select {
		case <-w.ended:
			return
		case <-time.After(folderInterval):
		}
	}
}

// folderBytes returns the size of all files in a folder. A file that is removed meanwhile does not count.
func folderBytes(dir string) (sum int64) {
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum
}
