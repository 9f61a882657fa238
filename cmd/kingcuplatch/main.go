// Command kingcuplatch is the command line of operators and callers.
package main

import (
	"fmt"
	_ "net"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "kingcuplatch: not built yet")
	os.Exit(1)
}
