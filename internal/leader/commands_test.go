package leader

import (
	"testing"

	"thornnotch/internal/constants"
)

// TestCommandDispatcher: half of the places are for stops alone, half of all for workers
// that have been heard, and a place that is given back can be taken again.
func TestCommandDispatcher(t *testing.T) {
	const stops, news, silent, heard = true, false, true, false
	acquire := func(d *commandDispatcher, stops, silent bool) (n int) {
		for d.acquire(stops, silent) {
			n++
		}
		return n
	}
	t.Run("news of the token leave places to stops", func(t *testing.T) {
		var dispatcher commandDispatcher
		if n := acquire(&dispatcher, news, heard); n != constants.MaxCommandsInFlight/2 {
			t.Errorf("%d commands that stop nothing", n)
		}
		if n := acquire(&dispatcher, stops, heard); n != constants.MaxCommandsInFlight-constants.MaxCommandsInFlight/2 {
			t.Errorf("%d stops beside them", n)
		}
	})
	t.Run("silent workers leave places to others", func(t *testing.T) {
		var dispatcher commandDispatcher
		if n := acquire(&dispatcher, stops, silent); n != constants.MaxSilentCommandsInFlight {
			t.Errorf("%d commands to silent workers", n)
		}
		if n := acquire(&dispatcher, stops, heard); n != constants.MaxCommandsInFlight-constants.MaxSilentCommandsInFlight {
			t.Errorf("%d commands to others", n)
		}
		dispatcher.release(silent)
		if !dispatcher.acquire(stops, silent) || dispatcher.acquire(stops, heard) {
			t.Error("a place that came free is not the one that was taken")
		}
	})
	t.Run("all places come free", func(t *testing.T) {
		var dispatcher commandDispatcher
		dispatcher.acquire(stops, silent)
		dispatcher.acquire(news, heard)
		dispatcher.release(silent)
		dispatcher.release(heard)
		if dispatcher != (commandDispatcher{}) {
			t.Errorf("left: %+v", dispatcher)
		}
	})
}
