package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"slatemux/internal/gateway"
)

// runCLI runs the command line and returns its output.
func runCLI(t *testing.T, env map[string]string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := newRootCommand(signals{}, func(name string) string { return env[name] })
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

func TestCheckCommand(t *testing.T) {
	env := writeTestConfig(t, newTestPeers(t).config)
	out, err := runCLI(t, env, "check", "--config", "../../deploy/gateway.textproto")
	if err != nil || !strings.Contains(out, "overload") || !strings.Contains(out, "on: busy 0.92") || !strings.Contains(out, "slot-status") {
		t.Errorf("%s%v", out, err)
	}
	if out, err = runCLI(t, env, "check"); err != nil || !strings.Contains(out, "none: all defaults") {
		t.Errorf("%s%v", out, err)
	}
	bad := filepath.Join(t.TempDir(), "bad.textproto")
	if err := os.WriteFile(bad, []byte("overload {\n  enabled: true\n  tick_ms: 1\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runCLI(t, env, "check", "--config", bad); err == nil || !strings.Contains(err.Error(), bad) || !strings.Contains(err.Error(), "overload.tick_ms") {
		t.Errorf("%v", err)
	}
	env["SLATEMUX_CONFIG"] = bad
	if _, err := runCLI(t, env, "serve"); err == nil || !strings.Contains(err.Error(), "tick_ms") {
		t.Errorf("serve accepted an invalid settings file: %v", err)
	}
	// The maximum class_floor could be too much for many classes. The configuration has two.
	floor := filepath.Join(t.TempDir(), "floor.textproto")
	if err := os.WriteFile(floor, []byte("overload { enabled: true class_floor: 0.2 }"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := runCLI(t, env, "check", "--config", floor); err != nil {
		t.Errorf("%v", err) // the floors of two classes add up to 0.4, which is within bounds
	}
}

func TestCommandLine(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"version"}, "slatemux"},
		{[]string{"--help"}, "counters"},
		{[]string{"completion", "bash"}, "__start_slatemux"},
		{[]string{"serve", "--help"}, "log-format"},
	} {
		if out, err := runCLI(t, nil, c.args...); err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%v: %v, %d bytes without %q", c.args, err, len(out), c.want)
		}
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"connections"}, "1 arg"}, {[]string{"connections", "0"}, "not a process id"}, {[]string{"counters"}, "1 arg"}, {[]string{"counters", "x"}, "not a process id"}, {[]string{"counters", "1"}, "not a process id"},
		{[]string{"what"}, "unknown command"}, {nil, "NODE_CONFIG"},
	} {
		if _, err := runCLI(t, map[string]string{}, c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.args, err, c.want)
		}
	}
}

// Flags override the settings file. An unknown format or level is an error.
func TestLogFlags(t *testing.T) {
	l := gateway.Log{Format: gateway.Text}
	if err := applyLogFlags(&l, "json", "debug"); err != nil || l.Format != gateway.JSON || l.Level.String() != "DEBUG" {
		t.Errorf("%+v %v", l, err)
	}
	if applyLogFlags(&l, "xml", "") == nil || applyLogFlags(&l, "", "loud") == nil {
		t.Error("an unknown format or level was accepted")
	}
}

// Each log format writes a line in its own syntax.
func TestLogFormats(t *testing.T) {
	for format, want := range map[gateway.Format]string{gateway.Auto: "msg=hello", gateway.Text: "msg=hello", gateway.JSON: `"msg":"hello"`,
		gateway.Colour: "\x1b["} {
		file, err := os.Create(filepath.Join(t.TempDir(), "log"))
		if err != nil {
			t.Fatal(err)
		}
		newLogger(file, gateway.Log{Format: format, LinesPerSecond: 5}).Info("hello")
		raw, _ := os.ReadFile(file.Name())
		file.Close()
		if !strings.Contains(string(raw), want) {
			t.Errorf("format %v: %q", format, raw)
		}
	}
}
