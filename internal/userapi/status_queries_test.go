package userapi

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// slowStore takes a while for each transaction, as a service in another place does.
type slowStore struct {
	*memoryStore
	takes time.Duration
}

func (s *slowStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	time.Sleep(s.takes)
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestPollsOfALargeFleet: with the fewest changes a transaction that may come to be
// allowed, one node answers the polls of thousands of jobs within its users' time, and
// with no more transactions than it takes to carry them. One batch at a time settled
// some 60 polls a second, which 300 open jobs use up.
func TestPollsOfALargeFleet(t *testing.T) {
	const jobCount, every = 2000, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{memoryStore: newMemoryStore(), takes: 40 * time.Millisecond}
		server := newTestServer(t, store, func(options *Options) {
			options.Limits = config.StateLimits{TxnOps: constants.MinTxnOps, ValueKB: 2}
		})
		jobID := func(i int) string { return fmt.Sprintf("j-%06d", i) }
		for i := range jobCount {
			revision := uint64(i + 1)
			store.putOpen(jobID(i), revision)
			server.replica.add(jobID(i), revision, jobs.Dependencies{})
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = server.ServeStatusQueries(ctx) }()

		var failed atomic.Int64
		var users sync.WaitGroup
		for i := range jobCount {
			users.Go(func() {
				time.Sleep(every * time.Duration(i) / jobCount)
				patience, stop := context.WithTimeout(ctx, constants.PollTimeout)
				defer stop()
				if _, found, err := server.queryStatus(patience, jobID(i)); err != nil || !found {
					failed.Add(1)
				}
			})
		}
		users.Wait()
		cancel()

		if n := failed.Load(); n > 0 {
			t.Errorf("%d of %d polls without an answer", n, jobCount)
		}
		// Each takes one condition, and the last batch of a window may not be full.
		most := jobCount/server.maxBatch() + int(every/constants.PollBatchWindow) + 1
		if store.transactions > most || store.gets > 0 {
			t.Errorf("%d transactions and %d reads, at most %d and none", store.transactions, store.gets, most)
		}
	})
}

// TestPollsAreProvenTogether: polls of one window cost one transaction, and
// one whose job has ended meanwhile is never answered from memory.
func TestPollsAreProvenTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawPollScenario(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = scenario.run(t) })
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "; "))
		}
	})
}

// pollScenario is a number of jobs that are polled at once.
type pollScenario struct {
	// statuses are those of the jobs; empty: nobody's.
	statuses []string
	// knowledge says of each job under which revision the node knows it: 0: none, 1: a wrong
	// one, else: the right one.
	knowledge []int
	// ending is the job that ends just before its keys are compared; -1: none.
	ending int
}

func drawPollScenario(t *rapid.T) pollScenario {
	anyStatus := rapid.SampledFrom([]string{jobs.StatusPending, jobs.StatusPending, jobs.StatusPending, jobs.StatusDone, jobs.StatusCancelled, ""})
	statuses := rapid.SliceOfN(anyStatus, 1, 20).Draw(t, "truth")
	return pollScenario{
		statuses:  statuses,
		knowledge: rapid.SliceOfN(rapid.IntRange(0, 5), len(statuses), len(statuses)).Draw(t, "knowledge"),
		ending:    rapid.IntRange(-1, len(statuses)-1).Draw(t, "ending"),
	}
}

// run polls all jobs at once and tells what went wrong.
func (p pollScenario) run(t *testing.T) (problems []string) {
	t.Helper()
	store := newMemoryStore()
	store.revision = 10
	server := newTestServer(t, store, nil)
	jobID := func(i int) string { return fmt.Sprintf("j-%d", i) }
	setStatus := func(i int, status string) {
		delete(store.rows, jobs.OpenPrefix+jobID(i))
		delete(store.rows, jobs.FinalPrefix+jobID(i))
		store.revision++
		p.statuses[i] = status
		switch status {
		case jobs.StatusPending:
			store.putOpen(jobID(i), store.revision)
		case jobs.StatusDone, jobs.StatusCancelled:
			store.putFinal(t, jobID(i), jobs.FinalRecord{Status: status, Tasks: 1}, store.revision)
		}
	}
	// As long as all that the node knows is right, one transaction proves all answers.
	allKnown := true
	for i, knowledge := range p.knowledge {
		setStatus(i, p.statuses[i])
		revision := store.rows[jobs.OpenPrefix+jobID(i)].Revision
		switch {
		case knowledge == 1:
			server.replica.add(jobID(i), 3, jobs.Dependencies{})
			allKnown = false
		case knowledge != 0 && revision != 0:
			server.replica.add(jobID(i), revision, jobs.Dependencies{})
		default:
			allKnown = allKnown && p.statuses[i] == ""
		}
	}
	store.beforeTxn = func() {
		if p.ending >= 0 && p.statuses[p.ending] == jobs.StatusPending {
			setStatus(p.ending, jobs.StatusDone)
			allKnown = false
		}
	}

	answers := pollAll(t, server, len(p.statuses), jobID)

	for i, answer := range answers {
		want := p.statuses[i]
		if want == jobs.StatusPending {
			want = jobs.StatusRunning // as far as the leader tells
		}
		if answer.err != nil || answer.found != (want != "") || answer.found && answer.status.Status != want {
			problems = append(problems, fmt.Sprintf("job %d is %q, answered %+v", i, p.statuses[i], answer))
		}
	}
	if allKnown && (store.transactions != 1 || store.gets != 0) {
		problems = append(problems, fmt.Sprintf("%d polls took %d transactions and %d reads", len(answers), store.transactions, store.gets))
	}
	return problems
}

// pollAll asks for the status of so many jobs at once.
func pollAll(t *testing.T, server *Server, count int, jobID func(i int) string) []statusAnswer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.ServeStatusQueries(ctx) }()
	answers := make([]statusAnswer, count)
	var users sync.WaitGroup
	for i := range answers {
		users.Go(func() {
			status, found, err := server.queryStatus(ctx, jobID(i))
			answers[i] = statusAnswer{status, found, err}
		})
	}
	users.Wait()
	return answers
}

// interruptedStore is a state service during whose transactions something else happens.
type interruptedStore struct {
	*memoryStore
	before, after func()
}

func (s interruptedStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	s.before()
	defer s.after()
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestOwnRecordProvesNothingOfAWaitingJob guards against an own day of an upgrade: a
// job was called pending after another node had called it cancelled with one before
// it. The poll came while its node did not know the job, so it was taken for one whose
// own record proves its state; then the node came to know it. Whenever that is, a job
// that depends on others is not told of by its own record alone; one that does not is.
func TestOwnRecordProvesNothingOfAWaitingJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &interruptedStore{memoryStore: newMemoryStore()}
		store.revision = 10
		store.putOpen("j-2", 9)
		server := newTestServer(t, store, nil)
		server.replica.load(nil, 5)
		dependencies := jobs.Dependencies{DependsOn: []string{"j-9"}}
		if rapid.Bool().Draw(t, "free") {
			dependencies = jobs.Dependencies{}
		}
		becomesKnown := rapid.SampledFrom([]string{"before", "during", "after", "never"}).Draw(t, "comes")
		recorded := false
		// arrive has the job recorded and known to the node if its moment has come.
		arrive := func(moment string) {
			if moment == becomesKnown && !recorded {
				recorded = true
				store.putOpen("j-1", 11)
				server.replica.add("j-1", 11, dependencies)
			}
		}
		store.before = func() { arrive("during") }
		store.after = func() { arrive("after") }
		arrive("before")

		// The second one conflicts, as this node does not know it: what is left is compared
		// again.
		batch := []statusQuery{
			{id: "j-1", ctx: t.Context(), answer: make(chan statusAnswer, 1)},
			{id: "j-2", ctx: t.Context(), answer: make(chan statusAnswer, 1)},
		}
		needReads := server.proveBatch(t.Context(), batch)

		isAnswered, isLeft := len(batch[0].answer) > 0, false
		for _, query := range needReads {
			isLeft = isLeft || query.id == "j-1"
		}
		if isAnswered == isLeft {
			t.Fatalf("%s: answered %v, left to be read %v", becomesKnown, isAnswered, isLeft)
		}
		// Unknown all the time it is nobody's; depending on nothing its record proves it.
		// That it came while it was compared conflicts.
		want := becomesKnown == "never" || dependencies.Empty() && becomesKnown != "during"
		if isAnswered != want {
			t.Fatalf("%s, depends on nothing %v: answered %v", becomesKnown, dependencies.Empty(), isAnswered)
		}
	})
}

// silentConflicts is a state service whose transactions conflict and name no key.
type silentConflicts struct {
	*memoryStore
}

func (s silentConflicts) Txn(context.Context, statestore.Class, []statestore.Condition, []statestore.Write) (uint64, error) {
	s.transactions++
	if s.transactions > 1 {
		return 0, statestore.ErrUnavailable // ends the test if it is asked for ever
	}
	return 0, &statestore.ConflictError{}
}

// TestConflictThatNamesNoKey: any of the queries may be the one that conflicted, so all are
// left to be read.
func TestConflictThatNamesNoKey(t *testing.T) {
	server := newTestServer(t, silentConflicts{newMemoryStore()}, nil)
	var batch []statusQuery
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		batch = append(batch, statusQuery{id: id, ctx: t.Context(), answer: make(chan statusAnswer, 1)})
	}

	needReads := server.proveBatch(t.Context(), batch)

	if len(needReads) != len(batch) {
		t.Errorf("%d of %d queries are left to be read", len(needReads), len(batch))
	}
	for _, query := range batch {
		if len(query.answer) > 0 {
			t.Errorf("%s is answered without proof", query.id)
		}
	}
}
