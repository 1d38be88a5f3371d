package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deploySetting returns the value of a key in the deploy file.
func deploySetting(t *testing.T, key string) string {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = (.*)$`).FindSubmatch(raw)
	if found == nil {
		t.Fatalf("deploy/balancer.toml has no %s", key)
	}
	return string(found[1])
}

// The platform loads its own library into the relay process. The relay must therefore be linked dynamically against the C library, which
// Go does only with cgo and the external linker. The run command must also replace the shell with the relay.
func TestDeployedRelayIsDynamicallyLinked(t *testing.T) {
	build := regexp.MustCompile(`go build (.*)-o bin/ ./cmd/\.\.\.`).FindStringSubmatch(deploySetting(t, "build"))
	if build == nil || !strings.Contains(deploySetting(t, "build"), "CGO_ENABLED=1") {
		t.Fatalf("deploy/balancer.toml: unexpected build command %s", deploySetting(t, "build"))
	}
	program := filepath.Join(t.TempDir(), "slatemux")
	cmd := exec.Command("go", append(append([]string{"build"}, strings.Fields(build[1])...), "-o", program, ".")...)
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	interpreter := false
	for _, p := range f.Progs {
		interpreter = interpreter || p.Type == elf.PT_INTERP
	}
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !interpreter || !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Errorf("the relay has no interpreter (%v) or does not need the C library: %v", interpreter, libraries)
	}
	if run := deploySetting(t, "run"); !strings.HasPrefix(run, `"exec `) {
		t.Errorf("deploy/balancer.toml: the run command does not replace the shell by exec: %s", run)
	}
}

// The deploy file lists every package of the relay. If one is missing there, the operators review less code than they run.
func TestDeployFileListsRelayPackages(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	node := deploySetting(t, "node")
	for _, pkg := range strings.Fields(string(out)) {
		part, ours := strings.CutPrefix(pkg, "slatemux/")
		if !ours || strings.Contains(node, `"`+part+`"`) {
			continue
		}
		inside := false
		for dir := filepath.Dir(part); dir != "."; dir = filepath.Dir(dir) {
			inside = inside || strings.Contains(node, `"`+dir+`"`)
		}
		if !inside {
			t.Errorf("deploy/balancer.toml: node lacks %s", part)
		}
	}
}
