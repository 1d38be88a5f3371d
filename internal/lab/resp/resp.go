// Package resp encodes commands of clients in RESP2.
package resp

import "github.com/tidwall/redcon"

// AppendCommand appends a command with the given arguments, of which the first is its name.
func AppendCommand(b []byte, arguments ...string) []byte {
	b = redcon.AppendArray(b, len(arguments))
	for _, a := range arguments {
		b = redcon.AppendBulkString(b, a)
	}
	return b
}
