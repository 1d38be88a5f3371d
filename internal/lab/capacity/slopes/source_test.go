package slopes

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"testing"
)

// sourceFile is a parsed source file of the program.
type sourceFile struct {
	t       *testing.T
	fileSet *token.FileSet
	syntax  *ast.File
}

// parseSource parses a file under internal.
func parseSource(t *testing.T, path string) *sourceFile {
	t.Helper()
	fileSet := token.NewFileSet()
	syntax, err := parser.ParseFile(fileSet, "../../../"+path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &sourceFile{t, fileSet, syntax}
}

// expressionText returns the source text of an expression.
func (s *sourceFile) expressionText(x ast.Expr) string {
	s.t.Helper()
	var b bytes.Buffer
	if err := printer.Fprint(&b, s.fileSet, x); err != nil {
		s.t.Fatal(err)
	}
	return b.String()
}

// constantValue returns the source text of a constant's value, or "" if the file declares no such constant.
func (s *sourceFile) constantValue(name string) (found string) {
	s.t.Helper()
	ast.Inspect(s.syntax, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for i, id := range spec.Names {
				if id.Name == name && i < len(spec.Values) {
					found = s.expressionText(spec.Values[i])
				}
			}
		}
		return true
	})
	return found
}

// TestBoundsMatchProgram guards against stale copies: other packages do not export some constants that this package repeats. The test
// fails when such a constant changes in the source of its package, or when the copy differs.
func TestBoundsMatchProgram(t *testing.T) {
	for _, constant := range []struct {
		file, name, expression string
		copied, want           float64
	}{
		{"pool/watch.go", "maxList", "4 << 20", maxDiscoveryListBytes, 4 << 20},
		{"pool/member_list.go", "maxGone", "2048", maxDepartedMembers, 2048},
		{"allowance/allocator.go", "maxDestinations", "16384", maxDividedDestinations, 16384},
		{"allowance/claims.go", "maxClaimed", "24", maxDestinationsPerClaim, 24},
		{"verdicts/judge.go", "maxTracked", "8192", maxJudgedDestinations, 8192},
		{"fleet/limits.go", "maxReadings", "16384", maxLimitReadings, 16384},
		{"fleet/members.go", "maxListedMembers", "4096", maxListedRelays, 4096},
		{"fleet/transport.go", "maxStreamBytes", "512 << 10", maxStreamBytes, 512 << 10},
		{"fleet/transport.go", "maxStreams", "8", maxConcurrentStreams, 8},
		{"journal/journal.go", "liveShare", "0.4", journalLiveShare, 0.4},
		{"fleet/membership.go", "minJoinPause", "250 * time.Millisecond", minJoinPause.Seconds(), 0.25},
		{"fleet/membership.go", "maxJoinPause", "8 * time.Second", maxJoinPause.Seconds(), 8},
		{"fleet/membership.go", "rejoinInterval", "10 * time.Second", rejoinInterval.Seconds(), 10},
	} {
		if expression := parseSource(t, constant.file).constantValue(constant.name); expression != constant.expression {
			t.Errorf("%s in internal/%s is %q, but this package was written for %q: adapt the copy here", constant.name, constant.file, expression, constant.expression)
		}
		if constant.copied != constant.want {
			t.Errorf("%s is copied as %v, but is %v in the program", constant.name, constant.copied, constant.want)
		}
	}
}
