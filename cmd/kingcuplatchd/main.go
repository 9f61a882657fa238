// Command kingcuplatchd is one entry of the cluster scheduler.
package main

import (
	"fmt"
	_ "net"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "kingcuplatchd: not built yet")
	os.Exit(1)
}
