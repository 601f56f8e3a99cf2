package room_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/room"
)

func at(ms ...int) room.Worker {
	var w room.Worker
	for _, v := range ms {
		w.FitsAt = append(w.FitsAt, time.Duration(v)*time.Millisecond)
	}
	return w
}

// TestHoldTakesTheSoonestPlaces guards against a gang that holds capacity for longer than it
// has to, which leaves it idle.
func TestHoldTakesTheSoonestPlaces(t *testing.T) {
	is := is.New(t)
	is.Equal(room.Hold([]room.Worker{at(0, 900), at(500), at(100, 200, 300)}, 4), []int{1, 0, 3})
}

// TestHoldOfAPartIsNone guards against capacity that is held for a gang that cannot be whole.
func TestHoldOfAPartIsNone(t *testing.T) {
	is := is.New(t)
	is.True(room.Hold([]room.Worker{at(0), at(0, 10)}, 4) == nil)
	is.True(room.Hold([]room.Worker{at(0)}, 0) == nil)
	is.True(room.Hold(nil, 1) == nil)
}

// TestHoldKeepsWhatIsFree guards against places that move from call to call while runs end:
// capacity that has become free for the gang would go to others, and the gang would start anew.
func TestHoldKeepsWhatIsFree(t *testing.T) {
	is := is.New(t)
	before := room.Hold([]room.Worker{at(0), at(800), at(900)}, 2)
	is.Equal(before, []int{1, 1, 0})
	after := room.Hold([]room.Worker{at(0), at(0), at(100)}, 2)
	is.Equal(after, before)
}
