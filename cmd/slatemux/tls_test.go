package main

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"slatemux/internal/lab/ca"
)

// The tls check command prints the certificates of a member, returns an error for a member that it does not accept, and requires an address
// if the configuration lists no member.
func TestTLSCheck(t *testing.T) {
	dir := t.TempDir()
	root, err := ca.Root("root", ca.P256)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := root.Issue(ca.Leaf{Names: []string{"127.0.0.1"}})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func(nc net.Conn) {
				defer nc.Close()
				_, _ = io.WriteString(nc, "x")
				_, _ = io.Copy(io.Discard, nc)
			}(nc)
		}
	}()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	rootFile := write("root.pem", string(root.PEM()))
	goodSettings := write("good.textproto", `tls { policy { name: "bank" root_file: "`+rootFile+`" } }`)
	wrongNameSettings := write("wrong.textproto", `tls { policy { name: "bank" root_file: "`+rootFile+`" server_name: "pay.example.org" } }`)
	env := writeTestConfig(t, strings.ReplaceAll(newTestPeers(t).config, `"dial":"`, `"dial":"`+ln.Addr().String()+`","was":"`))
	out, err := runCLI(t, env, "tls", "check", "7", "--config", goodSettings)
	if err != nil || !strings.Contains(out, "TLS 1.3") || !strings.Contains(out, "pin sha256/") || !strings.Contains(out, "resumed true") {
		t.Errorf("%s%v", out, err)
	}
	if out, err = runCLI(t, env, "tls", "check", "3", "--address", ln.Addr().String(), "--config", goodSettings); err != nil || !strings.Contains(out, "accepted") {
		t.Errorf("%s%v", out, err)
	}
	for want, args := range map[string][]string{
		"wrong name": {"tls", "check", "7", "--config", wrongNameSettings}, "no member": {"tls", "check", "8", "--config", goodSettings},
		"not the number": {"tls", "check", "x", "--config", goodSettings}, "are plain": {"tls", "check", "7"},
	} {
		if _, err := runCLI(t, env, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", args, err, want)
		}
	}
	if out, err := runCLI(t, env, "check", "--config", goodSettings); err != nil || !strings.Contains(out, "tls policy bank") {
		t.Errorf("%s%v", out, err)
	}
	missingRootSettings := write("missing.textproto", `tls { policy { name: "bank" root_file: "`+dir+`/none.pem" } }`)
	if _, err := runCLI(t, env, "check", "--config", missingRootSettings); err == nil || !strings.Contains(err.Error(), "none.pem") {
		t.Errorf("%v", err)
	}
}
