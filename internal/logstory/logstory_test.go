package logstory

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// jobID is the job whose lines testdata holds.
const jobID = "61b655198a2d3fa5"

// readTestLog reads a file of testdata. Each file holds one line that the daemon
// did not write.
func readTestLog(t *testing.T, name string) []Line {
	t.Helper()
	f, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, skipped, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	if skipped != 1 {
		t.Fatalf("Read skipped %d lines, want only the one that the daemon did not write", skipped)
	}
	return lines
}

// TestStoryIsInOrder guards against lines of several VMs that are listed out of
// order, and against a story without the cause of the job's delay. The lines were
// recorded in a simulated day.
func TestStoryIsInOrder(t *testing.T) {
	is := is.New(t)
	story, gaps := Story(readTestLog(t, "job.log"), jobID)
	is.Equal(len(gaps), 0)
	is.Equal(story[0].Message, "job is accepted")
	is.Equal(story[len(story)-1].Message, "job is completed")
	stuckLines := 0
	for i, l := range story {
		if i > 0 {
			is.True(!l.At.Before(story[i-1].At))
		}
		if l.Message == "run is stuck" {
			stuckLines++
			is.Equal(l.Details["percent"], 79.0)
		}
	}
	is.Equal(stuckLines, 1)
}

// TestGapsAreTold guards against a story that looks complete although the log of
// a VM is missing: the file lacks the acceptance and the end of the job.
func TestGapsAreTold(t *testing.T) {
	is := is.New(t)
	story, gaps := Story(readTestLog(t, "gap.log"), jobID)
	is.True(len(story) > 0)
	is.Equal(len(gaps), 2)
}

// TestUnknownJobHasNoStory guards against a story of ownership lines alone for a
// job that no line is about, which the command would print as a success.
func TestUnknownJobHasNoStory(t *testing.T) {
	is := is.New(t)
	story, _ := Story(readTestLog(t, "job.log"), "0000000000000000")
	is.Equal(len(story), 0)
}

// TestSummaryCountsCauses guards against outcomes, completion times and causes of
// delay that are missing from the counts of a queue or counted twice.
func TestSummaryCountsCauses(t *testing.T) {
	is := is.New(t)
	summaries := Summarize(readTestLog(t, "job.log"))
	is.Equal(len(summaries), 1)
	s := summaries[0]
	is.Equal(s.Accepted, 1)
	is.Equal(s.Completed, 1)
	is.Equal(s.P50, 19422*time.Millisecond)
	is.Equal(s.Causes["stuck"], 1)
	is.Equal(s.Causes["ended early"], 1)
}
