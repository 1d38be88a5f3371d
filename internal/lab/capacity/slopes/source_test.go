package slopes

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"testing"
)

// source is a parsed file of the program.
type source struct {
	t     *testing.T
	files *token.FileSet
	file  *ast.File
}

func parseSource(t *testing.T, path string) *source {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, "../../../"+path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &source{t, files, file}
}

// text is the source of an expression.
func (s *source) text(x ast.Expr) string {
	s.t.Helper()
	var b bytes.Buffer
	if err := printer.Fprint(&b, s.files, x); err != nil {
		s.t.Fatal(err)
	}
	return b.String()
}

// constant is the expression that a constant is declared with; empty where there is none.
func (s *source) constant(name string) (found string) {
	s.t.Helper()
	ast.Inspect(s.file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for i, id := range spec.Names {
				if id.Name == name && i < len(spec.Values) {
					found = s.text(spec.Values[i])
				}
			}
		}
		return true
	})
	return found
}

// TestBoundsAreThePrograms compares the constants that are repeated here with those of the program.
func TestBoundsAreThePrograms(t *testing.T) {
	for _, c := range []struct {
		file, name, text string
		here, want       float64
	}{
		{"pool/watch.go", "maxList", "4 << 20", discoveryListMost, 4 << 20},
		{"pool/book.go", "goneMost", "2048", membersGoneMost, 2048},
		{"allowance/allocator.go", "maxDestinations", "16384", dividedMost, 16384},
		{"allowance/claims.go", "maxClaimed", "24", claimedMost, 24},
		{"verdicts/judge.go", "maxTracked", "8192", judgedMost, 8192},
		{"fleet/limits.go", "maxReadings", "16384", readingsMost, 16384},
		{"fleet/members.go", "maxListedMembers", "4096", relaysGoneMost, 4096},
		{"fleet/transport.go", "maxStreamBytes", "512 << 10", streamBytesMost, 512 << 10},
		{"fleet/transport.go", "maxStreams", "8", streamsAtOnceMost, 8},
		{"journal/journal.go", "livePart", "0.4", journalLiveShare, 0.4},
		{"fleet/membership.go", "minJoinPause", "250 * time.Millisecond", joinFirst.Seconds(), 0.25},
		{"fleet/membership.go", "maxJoinPause", "8 * time.Second", joinMost.Seconds(), 8},
		{"fleet/membership.go", "rejoinInterval", "10 * time.Second", rejoinEvery.Seconds(), 10},
	} {
		if text := parseSource(t, c.file).constant(c.name); text != c.text {
			t.Errorf("%s in internal/%s is %q, and was %q: change what depends on it here", c.name, c.file, text, c.text)
		}
		if c.here != c.want {
			t.Errorf("%s is %v here and %v in the program", c.name, c.here, c.want)
		}
	}
}
