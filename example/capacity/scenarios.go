// Package capacity holds the scenarios of `slatelab capacity`, as files and built into the laboratory.
package capacity

import "embed"

// Files are the scenarios in protobuf text format.
//
//go:embed *.textproto
var Files embed.FS
