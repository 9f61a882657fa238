package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// verdict is the outcome of a case: what broke the rule, or an empty text if it held.
type verdict string

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// testCase plays a case. An error means that it could not run.
type testCase func(l *lab) (verdict, error)

// cases are the cases by name.
var cases = map[string]testCase{
	"gang-crashes": gangCrashes,
	"upkeep":       upkeepWave,
	"starvation":   starvation,
	"large-job":    largeJob,
	"lasting":      lastingTask,
	"label":        requiredLabel,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case")
	flag.Parse()
	os.Exit(play(*name, *dir))
}

// play plays a case and returns the exit code.
func play(name, dir string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "lab2: unknown case", name)
		return exitFailed
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitFailed
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "lab2: the case takes too long")
		// The entries end with this process.
		os.Exit(exitFailed)
	})
	l, err := newLab(rec, os.Getenv("TROUBLE") != "0")
	var v verdict
	if err == nil {
		v, err = run(l)
	}
	if l != nil {
		l.close()
	}
	code := exitHeld
	switch {
	case err != nil:
		rec.write("verdict", "the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = exitFailed
	case v != "":
		rec.write("verdict", "BROKEN: %s", v)
		fmt.Println("broken:", v)
		code = exitBroken
	default:
		rec.write("verdict", "the rule held")
		fmt.Println("held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitFailed
	}
	return code
}
