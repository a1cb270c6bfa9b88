package health

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestSuspectMachineGetsNoTasks checks that a suspect machine gets no tasks until the
// suspicion expires or is withdrawn, and that failures of FaultyMachineMinJobs different jobs
// make it faulty.
func TestSuspectMachineGetsNoTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine Machine
	if !machine.AcceptsTasks(now) {
		t.Fatal("a new machine accepts no tasks")
	}
	if machine.MarkSuspect("j-1", now) || machine.AcceptsTasks(now) {
		t.Error("a suspect machine accepts tasks, or one job makes it faulty")
	}
	if !machine.AcceptsTasks(now.Add(constants.SuspectMachinePause)) {
		t.Error("the suspicion does not expire")
	}
	machine.MarkSuspect("j-2", now)
	machine.ClearSuspicion("j-1")
	if machine.AcceptsTasks(now) {
		t.Error("clearing the suspicion of one job cleared that of another")
	}
	machine.ClearSuspicion("j-2")
	if !machine.AcceptsTasks(now) {
		t.Error("a cleared suspicion still counts")
	}
	for i := range constants.FaultyMachineMinJobs {
		if faulty := machine.MarkSuspect(fmt.Sprint("j-", i), now); faulty != (i == constants.FaultyMachineMinJobs-1) {
			t.Errorf("after %d jobs: faulty %v", i+1, faulty)
		}
	}
	machine.RecordSuccess()
	if machine.MarkSuspect("j-9", now) {
		t.Error("failures before a success still count")
	}
	if !machine.Quarantine() || machine.Quarantine() || machine.AcceptsTasks(now.Add(time.Hour)) {
		t.Error("quarantine is not permanent, or is reported twice")
	}
}

// TestSlowMachinePauses checks that the pause for a slow machine doubles up to its bound, and
// that signs of slowness expire and are cleared once the machine is marked slow.
func TestSlowMachinePauses(t *testing.T) {
	now := time.Unix(1000, 0)
	var machine Machine
	machine.AddSlowSignals(2, now)
	if n := machine.SlowSignals(now); n != 2 {
		t.Errorf("%d signals, want 2", n)
	}
	if n := machine.SlowSignals(now.Add(constants.StragglerSignalWindow)); n != 0 {
		t.Errorf("%d signals after the window, want 0", n)
	}
	want := constants.StragglerPause
	for i := range 8 {
		machine.AddSlowSignals(1, now)
		if pause := machine.MarkSlow(now); pause != want {
			t.Errorf("marked slow %d times: pause %v, want %v", i+1, pause, want)
		}
		if machine.SlowSignals(now) != 0 || machine.AcceptsTasks(now) || !machine.AcceptsTasks(now.Add(want)) {
			t.Errorf("marked slow %d times: signals not cleared (%d left) or wrong pause", i+1, machine.SlowSignals(now))
		}
		want = min(2*want, constants.MaxStragglerPause)
	}
}

// TestMedianRuntime checks that the median run time requires enough samples and covers only
// the latest ones, and that run times relative to it give the expected slowness signals.
func TestMedianRuntime(t *testing.T) {
	var runtimes Runtimes
	runtimes.Add(time.Second)
	if _, ok := runtimes.Median(1); ok {
		t.Error("median run time reported for one sample")
	}
	runtimes.Add(time.Second)
	if _, ok := runtimes.Median(5); ok {
		t.Error("median run time reported for two samples of five tasks")
	}
	if median, ok := runtimes.Median(4); !ok || median != time.Second {
		t.Errorf("median run time %v, ok %v, want 1s, true", median, ok)
	}
	for range constants.MaxRuntimeSamples {
		runtimes.Add(10 * time.Second)
	}
	if median, ok := runtimes.Median(1000); !ok || median != 10*time.Second || runtimes.Samples() != constants.MaxRuntimeSamples {
		t.Errorf("median run time %v, ok %v from %d samples, want 10s, true from MaxRuntimeSamples", median, ok, runtimes.Samples())
	}
	for ratio, want := range map[float64]int{1: 0, constants.StragglerLikelyRatio: 0, 2: 1, constants.StragglerCertainRatio: 1, 2.5: 2} {
		if got := runtimes.SlowSignals(time.Duration(ratio*10*float64(time.Second)), 1000); got != want {
			t.Errorf("%v times the median run time: %d signals, want %d", ratio, got, want)
		}
	}
}
