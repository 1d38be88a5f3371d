// Command benchlink runs senders for a simulator. It reads events from standard input and writes the senders' actions to standard output.
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
