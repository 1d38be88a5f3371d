package pool

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"slatemux/internal/proptest"
	"slatemux/internal/traffic"
)

const exampleList = `{"seq":41,"whole":true,"hosts":[{"host":"s-5b","dial":"127.0.0.1:1","site":"a","class":"m2","block":3,` +
	`"health":"leaving","share":1.5,"born_ms":0}]}`

// entryJSON returns an entry of a list.
func entryJSON(host, health string) string {
	return `{"host":"` + host + `","dial":"127.0.0.1:1","block":3,"health":"` + health + `"}`
}

// listJSON returns a list.
func listJSON(seq int, full bool, lines ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, full, strings.Join(lines, ","))
}

func TestParse(t *testing.T) {
	l, err := Parse([]byte(exampleList))
	if err != nil {
		t.Fatal(err)
	}
	want := traffic.Member{Host: "s-5b", Address: "127.0.0.1:1", Zone: "a", Kind: "m2", Destination: 3,
		Health: traffic.Leaving, Weight: 1.5}
	if update := l.Update(); l.Seq != 41 || !update.Full || len(update.Members) != 1 || update.Members[0] != want {
		t.Errorf("%+v", update)
	}
	for _, invalid := range []string{entryJSON("a", "odd"), entryJSON("", "active"), `{"host":"a","health":"active","dial":"127.0.0.1:1"}`,
		`{"host":"a","health":"active","dial":"127.0.0.1","block":1}`, `{"host":"a","health":"active","dial":":0","block":1}`,
		entryJSON("b", "active"), `7`, `{"host":"a","block":"x","dial":"127.0.0.1:1","health":"active"}`} {
		l, err := Parse([]byte(listJSON(1, true, invalid, entryJSON("b", "left"), entryJSON("c", "active"))))
		if err != nil || l.Invalid.Count != 1 || l.Invalid.First == nil || len(l.Hosts) != 2 || l.Hosts[0].Health != left {
			t.Errorf("%s: %+v, %v: the other entries, or the entry that withholds more, do not apply", invalid, l, err)
		}
	}
	for _, none := range []string{`{}`, `[]`, `null`, `{"seq":4}`, `{"hosts":[]}`, `{"seq":4,"hosts":null}`, exampleList[:60]} {
		if _, err := Parse([]byte(none)); err == nil {
			t.Errorf("%s is accepted as a list", none)
		}
	}
	proptest.Check(t, func(t *rapid.T) {
		if l, err := Parse(proptest.Malformed(t, []byte(exampleList))); err == nil {
			for _, m := range l.Update().Members {
				if m.Host == "" {
					t.Fatalf("%+v", l)
				}
			}
		}
	})
}
