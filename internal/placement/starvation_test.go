package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// maxStartDelay is the delay within which users expect their jobs to start.
const maxStartDelay = 4 * time.Minute

// TestLargestGangsStartInTime checks that the largest gangs start within maxStartDelay under a
// steady flow of smaller jobs of equal and higher priority that would fill every machine.
func TestLargestGangsStartInTime(t *testing.T) {
	const (
		largeTasks = 8
		largeEvery = 2 * time.Minute
		largeUntil = 11 * time.Minute
	)
	random := rand.New(rand.NewPCG(1, 2))
	cluster := &simulation{
		machines: 40, teams: []Team{{Name: "a"}},
		relativeClassCount: map[string]float64{jobs.KindArray: 1, jobs.KindGang: 1},
		starving:           map[string]StarvingClass{"gang8": {largeTasks, BoostAboveAll}},
		runtime: func(job *Job) time.Duration {
			runtime := randomSeconds(random, 30, 70) // always drawn, so that gangs don't change the random sequence
			if job.isGang() {
				runtime = 150 * time.Second
			}
			return runtime
		},
	}
	submit := func(name, kind, priorityClass string, tasks int, gpus float64) {
		cluster.submit(jobs.Spec{
			ID: name, Class: kind + fmt.Sprint(tasks), Team: "a", Kind: kind, PriorityClass: priorityClass, Tasks: tasks, GPUs: gpus,
		})
	}
	submittedArrays := 0
	cluster.run(func(elapsed time.Duration) {
		// Submits more work than the cluster can run.
		for range 2 {
			submittedArrays++
			submit(fmt.Sprint("sweep-", submittedArrays), jobs.KindArray, "standard", 10, 1)
		}
		if submittedArrays%18 == 0 {
			submit(fmt.Sprint("small-", submittedArrays), jobs.KindGang, "standard", 2, 4)
			submit(fmt.Sprint("urgent-", submittedArrays), jobs.KindGang, "urgent", 1, 4)
		}
		if elapsed%largeEvery == 0 && elapsed < largeUntil {
			submit(fmt.Sprint("large-", elapsed.Seconds()), jobs.KindGang, "standard", largeTasks, 4)
		}
	})

	large := 0
	for _, job := range cluster.submitted {
		if job.Spec.Tasks != largeTasks {
			continue
		}
		large++
		if delay, started := cluster.startDelay[job]; !started || delay > maxStartDelay {
			t.Errorf("%s started after %v (started: %v)", job.Spec.ID, delay, started)
		}
	}
	if large != 6 {
		t.Errorf("%d large gangs submitted, want 6", large)
	}
}

// TestNoClassOrTeamStarves guards against a fault seen in an overloaded deployment: machine
// claims of all waiting gangs left the machines half empty. With somewhat more work than
// capacity, at least half of the jobs of each of two classes and three teams must start within
// maxStartDelay, although one team submits most of the work and small tasks would fill every
// machine.
func TestNoClassOrTeamStarves(t *testing.T) {
	const submitFor = 10 * time.Minute
	// The probabilities of a new job array per second. Together with the gangs, this is about
	// 1.3 times what 24 machines with 4 GPUs each can run.
	chances := []struct {
		team        string
		arrayChance float64
	}{{"a", 0.12}, {"b", 0.03}, {"c", 0.03}}

	random := rand.New(rand.NewPCG(3, 4))
	cluster := &simulation{
		machines:           24,
		relativeClassCount: map[string]float64{jobs.KindArray: 1, jobs.KindGang: 0.25},
		runtime:            func(*Job) time.Duration { return randomSeconds(random, 30, 90) },
		preempts:           true,
	}
	for _, c := range chances {
		cluster.teams = append(cluster.teams, Team{Name: c.team, Guarantee: Resources{GPUs: 16}, Limit: Resources{GPUs: 96}})
	}
	submit := func(team, kind string, tasks int, gpus float64) {
		cluster.submit(jobs.Spec{
			ID: fmt.Sprint("j-", len(cluster.submitted)), Class: kind, Team: team, Kind: kind, PriorityClass: "standard", Tasks: tasks, GPUs: gpus,
		}, 30*time.Second, 90*time.Second)
	}
	cluster.run(func(elapsed time.Duration) {
		if elapsed >= submitFor {
			return
		}
		for _, c := range chances {
			if random.Float64() < c.arrayChance*1.15 {
				submit(c.team, jobs.KindArray, 8, 1)
			}
			if random.Float64() < c.arrayChance*1.15/4 {
				submit(c.team, jobs.KindGang, 2, 4)
			}
		}
	})

	total, inTime := cluster.startedInTime()
	for group, count := range total {
		if count < 3 || 2*inTime[group] < count {
			t.Errorf("%s: %d of %d started in time", group, inTime[group], count)
		}
	}
}

// startedInTime returns the number of submitted jobs, and of those that started within
// maxStartDelay, by class and by team.
func (s *simulation) startedInTime() (total, inTime map[string]int) {
	total, inTime = map[string]int{}, map[string]int{}
	for _, job := range s.submitted {
		for _, group := range []string{"class " + job.Spec.Class, "team " + job.Spec.Team} {
			total[group]++
			if delay, started := s.startDelay[job]; started && delay <= maxStartDelay {
				inTime[group]++
			}
		}
	}
	return total, inTime
}
