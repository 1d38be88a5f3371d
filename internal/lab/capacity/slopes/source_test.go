package slopes

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"strconv"
	"strings"
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
		{"allowance/desk.go", "mostDests", "16384", dividedMost, 16384},
		{"allowance/desk.go", "mostClaimed", "24", claimedMost, 24},
		{"verdicts/judge.go", "mostKept", "8192", judgedMost, 8192},
		{"fleet/fleet.go", "readMost", "16384", readingsMost, 16384},
		{"fleet/fleet.go", "goneMost", "4096", relaysGoneMost, 4096},
		{"fleet/transport.go", "streamMost", "512 << 10", streamBytesMost, 512 << 10},
		{"fleet/transport.go", "streamsMost", "8", streamsAtOnceMost, 8},
		{"journal/journal.go", "livePart", "0.4", journalLiveShare, 0.4},
		{"fleet/fleet.go", "joinFirst", "250 * time.Millisecond", joinFirst.Seconds(), 0.25},
		{"fleet/fleet.go", "joinMost", "8 * time.Second", joinMost.Seconds(), 8},
		{"fleet/fleet.go", "rejoinEvery", "10 * time.Second", rejoinEvery.Seconds(), 10},
	} {
		if text := parseSource(t, c.file).constant(c.name); text != c.text {
			t.Errorf("%s in internal/%s is %q, and was %q: change what depends on it here", c.name, c.file, text, c.text)
		}
		if c.here != c.want {
			t.Errorf("%s is %v here and %v in the program", c.name, c.here, c.want)
		}
	}
}

// TestConfigurationIsTheFleets wants memberConfig to set what Fleet.create sets, to the same values, and nothing else.
func TestConfigurationIsTheFleets(t *testing.T) {
	theirs := assignments(t, "fleet/fleet.go", "create")
	ours := assignments(t, "lab/capacity/slopes/member.go", "memberConfig")
	// What is a relay's own: its name, keys and addresses, and whom memberlist tells.
	for _, own := range []string{"Name", "Label", "Keyring", "Transport", "BindAddr", "BindPort", "AdvertiseAddr", "AdvertisePort",
		"Delegate", "Events", "Ping", "Conflict", "Logger"} {
		delete(theirs, own)
		delete(ours, own)
	}
	for field, value := range theirs {
		if ours[field] != value {
			t.Errorf("%s is %q in internal/fleet and %q here", field, value, ours[field])
		}
	}
	for field := range ours {
		if _, ok := theirs[field]; !ok {
			t.Errorf("internal/fleet does not set %s", field)
		}
	}
	if len(theirs) == 0 {
		t.Error("no value was found in internal/fleet")
	}
}

// assignments are the values that a function gives the fields of its variable c.
func assignments(t *testing.T, path, function string) map[string]string {
	t.Helper()
	s, found := parseSource(t, path), map[string]string{}
	for _, decl := range s.file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok || f.Name.Name != function {
			continue
		}
		ast.Inspect(f.Body, func(n ast.Node) bool {
			assign, ok := n.(*ast.AssignStmt)
			if !ok {
				return true
			}
			for i, left := range assign.Lhs {
				if name, ok := strings.CutPrefix(s.text(left), "c."); ok && len(assign.Rhs) == len(assign.Lhs) {
					found[name] = s.text(assign.Rhs[i])
				}
			}
			return true
		})
	}
	return found
}

// TestRecalledLimits wants the page's figure of remembered limits to be the one used here.
func TestRecalledLimits(t *testing.T) {
	const disk, entry = 3_000_000, 50
	half := disk / 16 / 2 / 512 * 512
	if most := half / entry; most != recalledLimits {
		t.Errorf("%d limits fit, and %d are counted on", most, recalledLimits)
	}
	if text := parseSource(t, "recall/recall.go").constant("entry"); text != strconv.Itoa(entry) {
		t.Errorf("an entry of internal/recall takes %s bytes", text)
	}
}
