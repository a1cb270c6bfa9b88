package health

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestSuspectMachine: a machine gets nothing until its suspicion is over or taken
// back, and so many different jobs that fail on it make it faulty.
func TestSuspectMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine Machine
	if !machine.AcceptsTasks(now) {
		t.Fatal("a new machine gets no tasks")
	}
	if machine.Suspect("j-1", now) || machine.AcceptsTasks(now) {
		t.Error("a suspect gets tasks, or one job makes it faulty")
	}
	if !machine.AcceptsTasks(now.Add(constants.SuspectMachinePause)) {
		t.Error("the suspicion never ends")
	}
	machine.Suspect("j-2", now)
	machine.ClearSuspicion("j-1")
	if machine.AcceptsTasks(now) {
		t.Error("one job's word is taken back and another's with it")
	}
	machine.ClearSuspicion("j-2")
	if !machine.AcceptsTasks(now) {
		t.Error("suspicion that was taken back still counts")
	}
	for i := range constants.FaultyMachineJobs {
		if faulty := machine.Suspect(fmt.Sprint("j-", i), now); faulty != (i == constants.FaultyMachineJobs-1) {
			t.Errorf("after %d jobs: faulty %v", i+1, faulty)
		}
	}
	machine.RecordSuccess()
	if machine.Suspect("j-9", now) {
		t.Error("failures before a success still add up")
	}
	if !machine.Quarantine() || machine.Quarantine() || machine.AcceptsTasks(now.Add(time.Hour)) {
		t.Error("quarantine is not for good, or begins twice")
	}
}

// TestSlowMachinePauses: the pause for slowness doubles up to its bound, and signs of
// slowness are forgotten with time and once they have been acted on.
func TestSlowMachinePauses(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine Machine
	machine.AddSlowSignals(2, now)
	if n := machine.SlowSignals(now); n != 2 {
		t.Errorf("%d signals", n)
	}
	if n := machine.SlowSignals(now.Add(constants.StragglerSignalWindow)); n != 0 {
		t.Errorf("%d old signals", n)
	}
	want := constants.StragglerPause
	for i := range 8 {
		machine.AddSlowSignals(1, now)
		if pause := machine.MarkSlow(now); pause != want {
			t.Errorf("found slow %d times: pause %v, want %v", i+1, pause, want)
		}
		if machine.SlowSignals(now) != 0 || machine.AcceptsTasks(now) || !machine.AcceptsTasks(now.Add(want)) {
			t.Errorf("found slow %d times: signals %d", i+1, machine.SlowSignals(now))
		}
		want = min(2*want, constants.MaxStragglerPause)
	}
}

// TestTypicalRuntime: it takes enough finished tasks, and the latest ones count.
func TestTypicalRuntime(t *testing.T) {
	var runtimes Runtimes
	runtimes.Add(time.Second)
	if _, ok := runtimes.Typical(1); ok {
		t.Error("one run is enough")
	}
	runtimes.Add(time.Second)
	if _, ok := runtimes.Typical(5); ok {
		t.Error("two runs of five tasks are enough")
	}
	if typical, ok := runtimes.Typical(4); !ok || typical != time.Second {
		t.Errorf("typical %v, %v", typical, ok)
	}
	for range constants.MaxRuntimeSamples {
		runtimes.Add(10 * time.Second)
	}
	if typical, ok := runtimes.Typical(1000); !ok || typical != 10*time.Second || runtimes.Samples() != constants.MaxRuntimeSamples {
		t.Errorf("typical %v, %v of %d runs", typical, ok, runtimes.Samples())
	}
	for ratio, want := range map[float64]int{1: 0, constants.StragglerLikelyRatio: 0, 2: 1, constants.StragglerCertainRatio: 1, 2.5: 2} {
		if got := runtimes.SlowSignals(time.Duration(ratio*10*float64(time.Second)), 1000); got != want {
			t.Errorf("%v times the typical run time: %d signals, want %d", ratio, got, want)
		}
	}
}
