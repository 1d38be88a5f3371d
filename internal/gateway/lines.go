package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// placed puts file and line before each of several errors that begin with the path of a field, as "tls.policy[1].name: ...".
// One whose field does not stand in the file, for it is missing, names the line of what should hold it.
func placed(path string, raw []byte, err error) error {
	at := lines(raw)
	var texts []string
	for _, text := range strings.Split(err.Error(), "\n") {
		field, _, _ := strings.Cut(text, ":")
		line := 0
		for f := field; line == 0 && f != ""; f = f[:max(strings.LastIndex(f, "."), 0)] {
			line = at[f]
		}
		texts = append(texts, fmt.Sprintf("%s:%d: %s", path, max(line, 1), text))
	}
	return errors.New(strings.Join(texts, "; "))
}

// lines tells on which line each field of a text-format file stands, by its path. A field that comes more than once has its
// number behind it too: "join" and "join[0]" are the first. The file is one that has been parsed, so it is well formed.
func lines(raw []byte) map[string]int {
	at := map[string]int{}
	counts := map[string]int{}
	var scope []string // paths of the messages that are open
	line, name, named := 1, "", 0
	opened := "" // the path of a message that "name:" begins, until its brace
	field := func() string {
		p := name
		if len(scope) > 0 {
			p = scope[len(scope)-1] + "." + name
		}
		return p
	}
	put := func() string {
		p := field()
		n := p + "[" + strconv.Itoa(counts[p]) + "]"
		if counts[p]++; at[p] == 0 {
			at[p] = named
		}
		at[n] = named
		if counts[p] > 1 {
			return n
		}
		return p
	}
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '\n':
			line++
		case c == '#':
			for i+1 < len(raw) && raw[i+1] != '\n' {
				i++
			}
		case c == '"' || c == '\'':
			for i++; i < len(raw) && raw[i] != c; i++ {
				if raw[i] == '\\' {
					i++
				}
			}
		case c == ':':
			opened = put()
		case c == '{' || c == '<':
			if opened == "" {
				opened = put()
			}
			scope, opened = append(scope, opened), ""
		case (c == '}' || c == '>') && len(scope) > 0:
			scope = scope[:len(scope)-1]
		case c == '_' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z':
			from := i
			for i+1 < len(raw) && word(raw[i+1]) {
				i++
			}
			name, named, opened = string(raw[from:i+1]), line, ""
		}
	}
	return at
}

func word(c byte) bool {
	return c == '_' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
