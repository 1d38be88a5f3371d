package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// locateErrors returns a copy of err in one line, with file and line before each joined error. The text of each error must start with the
// path of a field, such as "tls.policy[1].name: ...". If the file lacks the field, the line is that of the nearest enclosing message.
func locateErrors(path string, raw []byte, err error) error {
	lineOf := fieldLines(raw)
	var texts []string
	for _, text := range strings.Split(err.Error(), "\n") {
		field, _, _ := strings.Cut(text, ":")
		line := 0
		for prefix := field; line == 0 && prefix != ""; prefix = prefix[:max(strings.LastIndex(prefix, "."), 0)] {
			line = lineOf[prefix]
		}
		texts = append(texts, fmt.Sprintf("%s:%d: %s", path, max(line, 1), text))
	}
	return errors.New(strings.Join(texts, "; "))
}

// fieldLines returns the line of each field of a text-format file by the path of the field. Each occurrence is also listed with its index:
// "join" and "join[0]" are the first occurrence. The file must be well formed, as it is after successful parsing.
func fieldLines(raw []byte) map[string]int {
	lineOf := map[string]int{}
	counts := map[string]int{}
	var openMessages []string // paths of the enclosing messages
	line, name, nameLine := 1, "", 0
	openPath := "" // path of the field after its colon, until an opening brace shows that it is a message
	currentPath := func() string {
		p := name
		if len(openMessages) > 0 {
			p = openMessages[len(openMessages)-1] + "." + name
		}
		return p
	}
	record := func() string {
		p := currentPath()
		n := p + "[" + strconv.Itoa(counts[p]) + "]"
		if counts[p]++; lineOf[p] == 0 {
			lineOf[p] = nameLine
		}
		lineOf[n] = nameLine
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
			openPath = record()
		case c == '{' || c == '<':
			if openPath == "" {
				openPath = record()
			}
			openMessages, openPath = append(openMessages, openPath), ""
		case (c == '}' || c == '>') && len(openMessages) > 0:
			openMessages = openMessages[:len(openMessages)-1]
		case c == '_' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z':
			start := i
			for i+1 < len(raw) && isWordByte(raw[i+1]) {
				i++
			}
			name, nameLine, openPath = string(raw[start:i+1]), line, ""
		}
	}
	return lineOf
}

// isWordByte reports whether c may be part of a field name.
func isWordByte(c byte) bool {
	return c == '_' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
