package scripts

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/check"
)

// cmdCheck checks what the stand-ins observed and the callers received:
//
//	check capacity            no worker ran more than its capacity
//	check overlap             no task ran in two places at once
//	check slots N             no server had more runs than slots or N connections
//	check answers             every request got an answer, and it belongs to the request
//	check completed           every request was completed
//	check truth               what was reported as not run did not run, what was
//	                          reported as completed ran, and non-idempotent
//	                          requests ran at most once
//	check none-after D        no run started on a server later than D after the
//	                          server began to leave
//	check none-cut-off        no run was aborted because its caller disconnected
//	check races               of each race, one publication was accepted and the
//	                          others were refused with exit code 3
//	check versions            no daemon reverted to an earlier configuration version
func cmdCheck(_ *testscript.TestScript, c *cell, args []string) error {
	o, err := c.control.Observe(c.ctx)
	if err != nil {
		return err
	}
	switch args[0] {
	case "capacity":
		return problemsError(o.Capacity())
	case "overlap":
		return problemsError(o.Overlaps())
	case "slots":
		var connections int
		if _, err := fmt.Sscan(args[1], &connections); err != nil {
			return err
		}
		return problemsError(o.Slots(connections))
	case "answers":
		return c.checkAnswers()
	case "completed":
		return c.checkCompleted()
	case "truth":
		return c.checkTruth(o)
	case "none-after":
		limit, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		return problemsError(o.Late(limit))
	case "none-cut-off":
		return checkNoneCutOff(o)
	case "races":
		return c.checkRaces()
	case "versions":
		return c.checkVersions()
	}
	return fmt.Errorf("unknown check %q", args[0])
}

// problemsError returns an error with the first problems, or nil if there are
// none. The checks call it.
func problemsError(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	const maxShown = 5
	return errors.New(strings.Join(problems[:min(len(problems), maxShown)], "\n"))
}

// checkAnswers returns an error if a request got no answer, or one that does not
// belong to its payload. It runs on check answers, after await-load.
func (c *cell) checkAnswers() error {
	var problems []string
	for _, s := range c.sentRequests {
		if s.Wrong != "" {
			problems = append(problems, s.Wrong)
		}
		if s.Told.Answer == nil {
			problems = append(problems, fmt.Sprintf("request %s got no answer in %d sends: %v", s.ID, s.Told.Sends, s.Told.Input))
		}
	}
	return problemsError(problems)
}

// checkCompleted returns an error if a request was not completed. It runs on
// check completed, after await-load.
func (c *cell) checkCompleted() error {
	var problems []string
	for _, s := range c.sentRequests {
		if s.Told.Answer == nil || s.Told.Answer.Status != structs.StatusCompleted {
			problems = append(problems, fmt.Sprintf("request %s was not completed: %+v", s.ID, s.Told))
		}
	}
	return problemsError(problems)
}

// checkTruth compares the status that callers received with the runs on the
// backend servers. It runs on check truth, after await-load.
func (c *cell) checkTruth(o *check.Observation) error {
	var problems []string
	runs := o.Runs()
	for _, s := range c.sentRequests {
		if p := s.Check(runs[s.ID]); p != "" {
			problems = append(problems, p)
		}
	}
	return problemsError(problems)
}

// checkNoneCutOff returns an error if a backend server observed a run that was cut
// off. It runs on check none-cut-off.
func checkNoneCutOff(o *check.Observation) error {
	var problems []string
	for id, s := range o.Servers {
		for _, run := range s.Runs {
			if run.CutOff {
				problems = append(problems, fmt.Sprintf("server %s: request %s was cut off", id, run.ID))
			}
		}
	}
	return problemsError(problems)
}

// checkRaces returns an error if a race did not end with exactly one accepted
// publication, or if another one was not refused with exitRefused. It runs on
// check races.
func (c *cell) checkRaces() error {
	for _, r := range c.races {
		accepted := 0
		for i, code := range r.exitCodes {
			switch code {
			case exitAccepted:
				accepted++
			case exitRefused:
			default:
				return fmt.Errorf("publication %d ended with exit code %d: %s", i, code, r.outputs[i])
			}
		}
		if accepted != 1 {
			return fmt.Errorf("%d of %d conflicting publications were accepted: %q", accepted, len(r.exitCodes), r.outputs)
		}
	}
	return nil
}

// checkVersions returns an error if a daemon had a version in force after a higher
// one. It runs on check versions.
func (c *cell) checkVersions() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for entry, versions := range c.seenVersions {
		highest := int64(-1)
		for _, v := range versions {
			// A VM without a configuration (version -1) serves no requests, so this is
			// no reversion.
			if v >= 0 && v < highest {
				return fmt.Errorf("%s reverted from version %d to %d", entry, highest, v)
			}
			highest = max(highest, v)
		}
	}
	return nil
}
