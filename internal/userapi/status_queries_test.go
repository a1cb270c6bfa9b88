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
	"thornnotch/internal/wirejson/wirejsontest"
)

// slowStore delays each transaction, like a state service at another site.
type slowStore struct {
	*memoryStore
	latency time.Duration
}

func (s *slowStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	time.Sleep(s.latency)
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestStatusQueryThroughput checks that one node answers the status queries for thousands of
// jobs within their timeout, with as few transactions as possible, when transactions are
// limited to the minimum size. Processing one batch at a time answered only about 60 queries a
// second, which is what the users of 300 open jobs send.
func TestStatusQueryThroughput(t *testing.T) {
	const jobCount, interval = 2000, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{memoryStore: newMemoryStore(), latency: 40 * time.Millisecond}
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
				time.Sleep(interval * time.Duration(i) / jobCount)
				queryCtx, stop := context.WithTimeout(ctx, constants.StatusQueryTimeout)
				defer stop()
				if _, found, err := server.queryStatus(queryCtx, jobID(i)); err != nil || !found {
					failed.Add(1)
				}
			})
		}
		users.Wait()
		cancel()

		if n := failed.Load(); n > 0 {
			t.Errorf("%d of %d status queries failed", n, jobCount)
		}
		// Each query takes one condition, and the last batch of a window may not be full.
		maxTxns := jobCount/server.maxBatchSize() + int(interval/constants.StatusQueryBatchWindow) + 1
		if store.transactions > maxTxns || store.gets > 0 {
			t.Errorf("%d transactions and %d reads, want at most %d transactions and no reads", store.transactions, store.gets, maxTxns)
		}
	})
}

// TestStatusQueriesShareOneTxn checks that the status queries of one window are answered by
// one transaction if the node knows all their jobs. It also checks that a job that becomes
// final just before the transaction is never reported from stale data.
func TestStatusQueriesShareOneTxn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawQueryScenario(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = scenario.run(t) })
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "; "))
		}
	})
}

// queryScenario is a number of jobs whose statuses are queried at the same time.
type queryScenario struct {
	// statuses are the actual statuses of the jobs; empty means never accepted.
	statuses []string
	// known determines the revision at which the node knows each job. 0 stands for no revision,
	// 1 for a wrong one, and any other number for the right one.
	known []int
	// finishing is the index of the job that finishes just before its records are compared, or
	// -1 if none does.
	finishing int
}

func drawQueryScenario(t *rapid.T) queryScenario {
	anyStatus := rapid.SampledFrom([]string{jobs.StatusPending, jobs.StatusPending, jobs.StatusPending, jobs.StatusDone, jobs.StatusCancelled, ""})
	statuses := rapid.SliceOfN(anyStatus, 1, 20).Draw(t, "statuses")
	return queryScenario{
		statuses:  statuses,
		known:     rapid.SliceOfN(rapid.IntRange(0, 5), len(statuses), len(statuses)).Draw(t, "known"),
		finishing: rapid.IntRange(-1, len(statuses)-1).Draw(t, "finishing"),
	}
}

// run queries all jobs at the same time and returns the problems found.
func (q queryScenario) run(t *testing.T) (problems []string) {
	t.Helper()
	store := newMemoryStore()
	store.revision = 10
	server := newTestServer(t, store, nil)
	jobID := func(i int) string { return fmt.Sprintf("j-%d", i) }
	setStatus := func(i int, status string) {
		delete(store.records, jobs.OpenPrefix+jobID(i))
		delete(store.records, jobs.FinalPrefix+jobID(i))
		store.revision++
		q.statuses[i] = status
		switch status {
		case jobs.StatusPending:
			store.putOpen(jobID(i), store.revision)
		case jobs.StatusDone, jobs.StatusCancelled:
			store.putFinal(t, jobID(i), jobs.FinalRecord{Status: status, Tasks: 1}, store.revision)
		}
	}
	// If everything that the node knows is right, one transaction proves all answers.
	allKnown := true
	for i, known := range q.known {
		setStatus(i, q.statuses[i])
		revision := store.records[jobs.OpenPrefix+jobID(i)].Revision
		switch {
		case known == 1:
			server.replica.add(jobID(i), 3, jobs.Dependencies{})
			allKnown = false
		case known != 0 && revision != 0:
			server.replica.add(jobID(i), revision, jobs.Dependencies{})
		default:
			allKnown = allKnown && q.statuses[i] == ""
		}
	}
	store.beforeTxn = func() {
		if q.finishing >= 0 && q.statuses[q.finishing] == jobs.StatusPending {
			setStatus(q.finishing, jobs.StatusDone)
			allKnown = false
		}
	}

	answers := queryAll(t, server, len(q.statuses), jobID)

	for i, answer := range answers {
		want := q.statuses[i]
		if want == jobs.StatusPending {
			want = jobs.StatusRunning // fixedProgress reports running tasks
		}
		if answer.err != nil || answer.found != (want != "") || answer.found && answer.status.Status != want {
			problems = append(problems, fmt.Sprintf("job %d is %q, result %+v", i, q.statuses[i], answer))
		}
	}
	if allKnown && (store.transactions != 1 || store.gets != 0) {
		problems = append(problems, fmt.Sprintf("%d status queries took %d transactions and %d reads", len(answers), store.transactions, store.gets))
	}
	return problems
}

// queryAll queries the statuses of count jobs at the same time.
func queryAll(t *testing.T, server *Server, count int, jobID func(i int) string) []statusResult {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.ServeStatusQueries(ctx) }()
	answers := make([]statusResult, count)
	var users sync.WaitGroup
	for i := range answers {
		users.Go(func() {
			status, found, err := server.queryStatus(ctx, jobID(i))
			answers[i] = statusResult{status, found, err}
		})
	}
	users.Wait()
	return answers
}

// hookedStore calls hooks before and after each transaction.
type hookedStore struct {
	*memoryStore
	before, after func()
}

func (s hookedStore) Txn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (uint64, error) {
	s.before()
	defer s.after()
	return s.memoryStore.Txn(ctx, class, conditions, writes)
}

// TestDependentJobIsNotProvenByOwnRecord guards against a fault seen in a simulated upgrade: a
// job was reported as pending after another node had reported it as cancelled through a
// dependency. The node didn't know the job when the query arrived, so it treated the job's
// own record as sufficient proof, and learned of the job afterwards. Whenever the node learns of
// a job, the job's own record must prove its status only if the job has no dependencies.
func TestDependentJobIsNotProvenByOwnRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &hookedStore{memoryStore: newMemoryStore()}
		store.revision = 10
		store.putOpen("j-2", 9)
		server := newTestServer(t, store, nil)
		server.replica.load(nil, 5)
		dependencies := jobs.Dependencies{DependsOn: []string{"j-9"}}
		if rapid.Bool().Draw(t, "independent") {
			dependencies = jobs.Dependencies{}
		}
		becomesKnown := rapid.SampledFrom([]string{"before", "during", "after", "never"}).Draw(t, "becomes known")
		recorded := false
		// insertAt stores the job and adds it to the replica if this is the drawn moment.
		insertAt := func(moment string) {
			if moment == becomesKnown && !recorded {
				recorded = true
				store.putOpen("j-1", 11)
				server.replica.add("j-1", 11, dependencies)
			}
		}
		store.before = func() { insertAt("during") }
		store.after = func() { insertAt("after") }
		insertAt("before")

		// The query for j-2 conflicts because this node doesn't know that job, so the query for
		// j-1 is compared again.
		batch := []statusQuery{
			{id: "j-1", ctx: t.Context(), result: make(chan statusResult, 1)},
			{id: "j-2", ctx: t.Context(), result: make(chan statusResult, 1)},
		}
		needReads := server.proveBatch(t.Context(), batch)

		isAnswered, needsRead := len(batch[0].result) > 0, false
		for _, query := range needReads {
			needsRead = needsRead || query.id == "j-1"
		}
		if isAnswered == needsRead {
			t.Fatalf("%s: answered %v, needs reads %v", becomesKnown, isAnswered, needsRead)
		}
		// A job that never appears is proven not to exist, and a job without dependencies is
		// proven by its record. A job that appears during the comparison conflicts.
		want := becomesKnown == "never" || dependencies.Empty() && becomesKnown != "during"
		if isAnswered != want {
			t.Fatalf("%s, no dependencies %v: answered %v", becomesKnown, dependencies.Empty(), isAnswered)
		}
	})
}

// keylessConflictStore is a state service whose transactions fail with conflicts that name no
// key.
type keylessConflictStore struct {
	*memoryStore
}

func (s keylessConflictStore) Txn(context.Context, statestore.Class, []statestore.Condition, []statestore.Write) (uint64, error) {
	s.transactions++
	if s.transactions > 1 {
		return 0, statestore.ErrUnavailable // ends the test if the transaction is repeated
	}
	return 0, &statestore.ConflictError{}
}

// TestConflictWithoutKeys checks that all queries are left to reads after a conflict that
// names no key, because any of them may have caused it.
func TestConflictWithoutKeys(t *testing.T) {
	server := newTestServer(t, keylessConflictStore{newMemoryStore()}, nil)
	var batch []statusQuery
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		batch = append(batch, statusQuery{id: id, ctx: t.Context(), result: make(chan statusResult, 1)})
	}

	needReads := server.proveBatch(t.Context(), batch)

	if len(needReads) != len(batch) {
		t.Errorf("%d of %d queries need reads, want all", len(needReads), len(batch))
	}
	for _, query := range batch {
		if len(query.result) > 0 {
			t.Errorf("query for %s is answered without proof", query.id)
		}
	}
}

// TestFinalRecordIgnoresFieldsOfOtherCase guards against a done job that is reported as cancelled
// because of an unknown field in its record.
func TestFinalRecordIgnoresFieldsOfOtherCase(t *testing.T) {
	store := newMemoryStore()
	key := jobs.FinalPrefix + "j-1"
	value := wirejsontest.AddCaseVariants(t, []byte(`{"status":"done","pieces":3,"atMs":5}`))
	store.records[key] = statestore.KeyValue{Key: key, Value: value, Revision: 1}
	server := newTestServer(t, store, nil)
	status, found, err := server.lookUpStatus(t.Context(), "j-1", statestore.ClassStatusQuery)
	if err != nil || !found || status.Status != jobs.StatusDone || *status.Done != 3 {
		t.Errorf("got %+v, found %v, error %v", status, found, err)
	}
}
