//go:build review2

// Command stand2 runs the scripted cases of the second review: real daemons with stand-ins.
package main

import (
	"fmt"
	"os"
	"time"

	"gypsumwinch/internal/cell"
)

type cellRecord = cell.KeyValue

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. They return the broken rules.
var cases = map[string]func(c *cluster, trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{out: out, start: time.Now()}
	c, err := newCluster(os.Args[2], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := run(c, os.Getenv("TROUBLE") != "0")
	c.close()
	for _, b := range broken {
		rec.line("BROKEN %s", b)
	}
	rec.line("%d findings", len(broken))
	_ = out.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case len(broken) > 0:
		for _, b := range broken[:min(len(broken), 10)] {
			fmt.Println(b)
		}
		fmt.Println(len(broken), "findings")
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}
