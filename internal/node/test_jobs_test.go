package node

import "thornnotch/internal/jobs"

// testJob is a job of one-GPU tasks that run for 20 s. Arrays may use spot machines,
// gangs are bound to one zone.
func testJob(number int, team, kind string, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: jobID(number), Class: kind, Team: team, Kind: kind, PriorityClass: "standard", Tasks: tasks,
		CPUs: 6, GPUs: 1, MemoryGB: 10, Image: "img", SameZone: kind == jobs.KindGang, AllowSpot: kind == jobs.KindArray,
		ExpectedS: 20, CheckpointIntervalS: 5, SaveS: 1,
	}
}

// long is a job that runs until it is cancelled, or for that long.
func longJob(team, kind string, tasks int, seconds float64) *jobs.Spec {
	job := testJob(0, team, kind, tasks)
	job.ExpectedS = seconds
	return job
}

// teamOf names the site's two teams by turns.
func teamOf(n int) string { return []string{"a", "b"}[n%2] }

// kindOf names arrays and gangs by turns.
func kindOf(n int) string { return []string{jobs.KindArray, jobs.KindGang}[n%2] }

// mostlyArrays names two arrays for each gang.
func mostlyArrays(n int) string {
	return []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3]
}
