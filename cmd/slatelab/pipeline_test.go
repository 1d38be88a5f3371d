package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Every row has answers, none of them unexpected: one for each command, in order, at each depth and on new connections.
func TestPipelineMeasuresAllRows(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "slatemux")
	if out, err := exec.Command("go", "build", "-o", binary, "../slatemux").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f := pipelineFlags{binary: binary, clients: 2, length: 100 * time.Millisecond, rounds: 1, bodyBytes: 5000}
	var out strings.Builder
	if err := f.run(t.Context(), &out); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"PING", "MSG.PUT"} {
		for _, depth := range []int{newConnections, 1, 30, 300} {
			row := fmt.Sprintf("%-8s pipeline %3d round 0", command, depth)
			at := strings.Index(out.String(), row)
			if at < 0 {
				t.Errorf("no row %q", row)
				continue
			}
			line, _, _ := strings.Cut(out.String()[at:], "\n")
			if !strings.HasSuffix(line, " 0 unexpected answers") || strings.Contains(line, " 0 answers/s") {
				t.Errorf("%s", line)
			}
		}
	}
}
