//go:build review

// Stand plays one case of the review: it starts the product's processes with the command of
// deploy/system.toml, the project's stand-ins around them, sends jobs, brings about the
// disruption unless TROUBLE=0, and judges what clients and workers have seen.
//
//	review-stand CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gypsumwinch/standin/storeserver"
)

// prefix is the path prefix of the only queue.
const prefix = "/review/"

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// scenario is one case. run returns an error if the case could not run.
type scenario struct {
	rule  string
	vms   int
	kinds []string
	run   func(c *cell, hasTrouble bool) error
}

var scenarios = map[string]scenario{
	"ends":  {rule: "TWICE", vms: 3, kinds: repeat("a", 2), run: playEnds},
	"kind":  {rule: "ROUTE", vms: 3, kinds: []string{"a", "a", "a", "b", "b", "b", "b", "b"}, run: playKind},
	"drain": {rule: "DRAIN", vms: 3, kinds: repeat("a", 16), run: playDrain},
}

func repeat(kind string, n int) []string {
	var out []string
	for range n {
		out = append(out, kind)
	}
	return out
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitCannot
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer file.Close()
	rec := &record{file: file, begin: time.Now()}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", name, hasTrouble)
	routes := []storeserver.Route{{Name: "review", Host: host, PathPrefix: prefix, Service: service, Priority: 1, MaxAttempts: 4, SlackFactor: 2, TargetLatencyMs: 1000}}
	c, err := newCell(rec, s.vms, s.kinds, routes)
	if c != nil {
		defer c.close()
	}
	if err == nil {
		err = s.run(c, hasTrouble)
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannot
	}
	for _, v := range c.vms {
		select {
		case <-v.done:
			c.report("FAULT: the process of %s has ended by itself", v.name)
		default:
		}
	}
	broken := c.violations(s.rule)
	for _, line := range c.violations("") {
		rec.line("judged: %s", line)
	}
	if len(broken) > 0 {
		fmt.Printf("%s is broken %d times, first: %s\n", s.rule, len(broken), broken[0])
		return exitBroken
	}
	fmt.Printf("%s holds\n", s.rule)
	return exitHeld
}
