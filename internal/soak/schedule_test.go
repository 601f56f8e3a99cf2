package soak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestScheduleIsPlayedAgain guards against a schedule that is not what was played.
func TestScheduleIsPlayedAgain(t *testing.T) {
	is := is.New(t)
	size := Size{VMs: 3, Workers: 8, Traffic: 20 * time.Second, JobsPerSecond: 4}
	s := DrawSchedule(7, size)
	is.Equal(s, DrawSchedule(7, size))
	path := filepath.Join(t.TempDir(), "schedule.yaml")
	is.NoErr(s.WriteFile(path))
	read, err := ReadSchedule(path)
	is.NoErr(err)
	is.Equal(read, s)
}

// TestCancelScheduleHasCalmGaps guards against schedules in which the bound of cancellations never applies.
func TestCancelScheduleHasCalmGaps(t *testing.T) {
	is := is.New(t)
	size := Size{VMs: 3, Workers: 8, Traffic: 60 * time.Second, JobsPerSecond: 4}
	for seed := range uint64(50) {
		s := DrawCancelSchedule(seed, size)
		is.Equal(s, DrawCancelSchedule(seed, size))
		is.True(s.PromptCancelShare >= 0.6 && s.PromptCancelShare <= 0.7)
		gaps, end := 0, time.Duration(0)
		for _, f := range s.Faults {
			if f.At >= end+calmGap {
				gaps++
			}
			end = max(end, f.At+f.For)
		}
		is.True(gaps >= 2) // gaps between groups of faults
	}
	path := filepath.Join(t.TempDir(), "schedule.yaml")
	s := DrawCancelSchedule(1, size)
	is.NoErr(s.WriteFile(path))
	read, err := ReadSchedule(path)
	is.NoErr(err)
	is.Equal(read, s)
}

// TestKeptSchedulesCanBePlayed guards against a schedule that once broke a rule and cannot be read any more.
func TestKeptSchedulesCanBePlayed(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/*.yaml")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		s, err := ReadSchedule(file)
		is.NoErr(err)
		is.True(len(s.Faults) > 0)
	}
}

// TestEveryKindIsDrawn guards against a kind of fault that no seed draws.
func TestEveryKindIsDrawn(t *testing.T) {
	is := is.New(t)
	drawn := map[Kind]bool{}
	for seed := range uint64(50) {
		for _, f := range DrawSchedule(seed, Size{VMs: 3, Workers: 8, Traffic: 40 * time.Second, JobsPerSecond: 4}).Faults {
			drawn[f.Kind] = true
		}
	}
	for _, kind := range kinds {
		is.True(drawn[kind]) // each kind
	}
}
