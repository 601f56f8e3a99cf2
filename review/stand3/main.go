// Command stand3 runs the cases of the third review that are scripts: it starts the project's
// daemon as separate processes, with stand-ins for the store, the workers and the clients, and
// checks rules of the users' platform as the workers and the clients see them.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases by name.
var cases = map[string]func(*recorder, bool) (broken []string, err error){
	"due-times":       dueTimes,
	"running-service": runningService,
	"empty-steps":     emptySteps,
	"many-steps":      manySteps,
	"large-jobs":      largeJobs,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder of record.txt")
	flag.Parse()
	os.Exit(runCase(*name, *out, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, out string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &recorder{file: file, startedAt: time.Now()}
	rec.logf("case %s, trouble %v", name, trouble)
	broken, err := run(rec, trouble)
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for i, b := range broken {
		if i == 8 {
			fmt.Printf("... and %d more\n", len(broken)-i)
			break
		}
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
