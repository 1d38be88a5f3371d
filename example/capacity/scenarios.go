// Package capacity embeds the scenario files of `slatelab capacity`.
package capacity

import "embed"

// Files holds the scenarios in protobuf text format.
//
//go:embed *.textproto
var Files embed.FS
