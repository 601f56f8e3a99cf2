package logstory

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const job = "61b655198a2d3fa5"

func load(t *testing.T, name string) []Line {
	t.Helper()
	f, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, foreign, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	if foreign != 1 {
		t.Fatalf("%d lines were passed over, want the one that is not the daemon's", foreign)
	}
	return lines
}

// TestStoryIsInOrder guards the order of lines of several VMs and the cause of
// the job's delay, on lines recorded on a played day.
func TestStoryIsInOrder(t *testing.T) {
	is := is.New(t)
	story, gaps := Story(load(t, "job.log"), job)
	is.Equal(len(gaps), 0)
	is.Equal(story[0].Message, "job is accepted")
	is.Equal(story[len(story)-1].Message, "job is completed")
	stuck := 0
	for i, l := range story {
		if i > 0 {
			is.True(!l.At.Before(story[i-1].At))
		}
		if l.Message == "run is stuck" {
			stuck++
			is.Equal(l.Details["percent"], 79.0)
		}
	}
	is.Equal(stuck, 1)
}

// TestGapsAreTold guards against a story that looks whole although the log of a
// VM is missing.
func TestGapsAreTold(t *testing.T) {
	is := is.New(t)
	story, gaps := Story(load(t, "gap.log"), job)
	is.True(len(story) > 0)
	is.Equal(len(gaps), 2)
}

// TestUnknownJobHasNoStory guards against an empty story that exits well.
func TestUnknownJobHasNoStory(t *testing.T) {
	is := is.New(t)
	story, _ := Story(load(t, "job.log"), "0000000000000000")
	is.Equal(len(story), 0)
}

// TestSummaryCountsCauses guards the counts per queue.
func TestSummaryCountsCauses(t *testing.T) {
	is := is.New(t)
	all := Summarize(load(t, "job.log"))
	is.Equal(len(all), 1)
	s := all[0]
	is.Equal(s.Accepted, 1)
	is.Equal(s.Completed, 1)
	is.Equal(s.P50, 19422*time.Millisecond)
	is.Equal(s.Causes["stuck"], 1)
	is.Equal(s.Causes["ended early"], 1)
}
