// Command benchlink runs senders on a simulator's wire: events on standard input, actions on standard output.
package main

import (
	"fmt"
	"os"

	"slatemux/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
