package node

import "thornnotch/internal/jobs"

// testJob returns a job whose tasks need one GPU each and run for 20 s. Arrays may run on spot
// machines, gangs must run in a single zone.
func testJob(number int, team, kind string, tasks int) *jobs.Spec {
	return &jobs.Spec{
		ID: jobID(number), Class: kind, Team: team, Kind: kind, PriorityClass: "standard", Tasks: tasks,
		CPUs: 6, GPUs: 1, MemoryGB: 10, Image: "img", SameZone: kind == jobs.KindGang, AllowSpot: kind == jobs.KindArray,
		ExpectedS: 20, CheckpointIntervalS: 5, CheckpointSaveS: 1,
	}
}

// longJob returns a job whose tasks run for the given number of seconds unless it is cancelled.
// Its ID is assigned when a scenario submits it.
func longJob(team, kind string, tasks int, seconds float64) *jobs.Spec {
	job := testJob(0, team, kind, tasks)
	job.ExpectedS = seconds
	return job
}

// alternatingTeam returns the site's two teams alternately for successive n.
func alternatingTeam(n int) string { return []string{"a", "b"}[n%2] }

// alternatingKind returns the kinds array and gang alternately for successive n.
func alternatingKind(n int) string { return []string{jobs.KindArray, jobs.KindGang}[n%2] }

// mostlyArrayKind returns the kind array for two and gang for one of three successive n.
func mostlyArrayKind(n int) string {
	return []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3]
}
