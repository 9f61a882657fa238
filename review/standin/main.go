// Command standin plays the cases of the review that are scripts. It starts entries as separate
// processes with the command of the deploy file, and stands in for the clients, the workers, the
// store and the machine service of the platform, all on loopback addresses.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// maxDuration bounds a whole case.
const maxDuration = 115 * time.Second

// scenario plays one case. It returns what broke the rule; nothing if it held.
type scenario func(ctx context.Context, s *site, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"silent":     playSilent,
	"cancel":     playCancel,
	"smaller":    playSmaller,
	"upkeep":     playUpkeep,
	"crashes":    playCrashes,
	"late-start": playLateStart,
	"dark":       playDark,
	"holder":     playHolder,
}

func main() {
	os.Exit(run())
}

func run() int {
	record := flag.String("record", "record.txt", "file that the record is written to")
	binary := flag.String("entry", "target/kingcuplatchd", "program of an entry")
	flag.Parse()
	play, known := scenarios[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "usage: standin [-record FILE] [-entry PROGRAM] CASE")
		return exitCouldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	s, err := newSite(*binary, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCouldNot
	}
	defer s.close()
	broken, err := play(ctx, s, trouble)
	switch {
	case err != nil:
		s.log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCouldNot
	case len(broken) > 0:
		for _, what := range broken {
			s.log.printf("BROKEN %s", what)
			fmt.Println("broken:", what)
		}
		return exitBroken
	}
	s.log.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
