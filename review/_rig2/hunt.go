package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thornnotch/internal/simulator"
)

// The hunt plays random troubles of the pages for 85 s and then checks every job. It is no case of
// the review: it looks for them. HUNT_SEED fixes what is drawn.

var huntSite = siteOptions{
	zones:    []string{"derby-hall", "leicester-depot", "nottingham-annex"},
	machine:  machineType{"dispenser-32g", 32, 4, 256, 1},
	machines: 14, capacity: 32,
	teams:     []team{{"formulary", 16, 40}, {"surgery-links", 16, 24}, {"member-services", 40, 136}, {"dispensary-analytics", 16, 20}},
	workers:   workerTimes{2 * time.Second, 12 * time.Second},
	gangWaitS: 35, gangPeerS: 8, cancelS: 37,
	state:       "rps = 150.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 12",
	stateLimits: simulator.RequestLimits{ValueBytes: 16 << 10, WritesPerTxn: 12, WritesPerSecond: 50},
	cloudRPS:    2, listLagS: 10,
	machineLimits: "cores = 0.144\nmem_mb = 125.0\nsockets = 1200",
	restart:       3 * time.Second,
	late: func(hello) time.Duration {
		if !huntLate.Load() || rand.Float64() > 0.15 {
			return 0
		}
		return time.Duration((1 + 25*rand.Float64()) * float64(time.Second))
	},
}

var huntLate atomic.Bool

// The heavy hunt has more machines, jobs and cancellations, and kills leaders just after them.
var (
	huntPause       = 1200 * time.Millisecond
	huntCancelShare = 0.2
	huntKills       = false
	huntLower       = false
	huntKillOdds    = 12
	huntTroubles    = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
)

// playCancelHunt: most jobs are cancelled, while machines get no answers and leaders are killed.
func playCancelHunt(s *site, trouble bool) (broken bool, err error) {
	huntPause, huntCancelShare, huntKills, huntKillOdds = 500*time.Millisecond, 0.8, true, 6
	huntTroubles = []int{0, 1, 3, 3, 4, 5, 6, 7, 7, 8, 8, 8, 9, 14, 15}
	return playHunt(s, trouble)
}

func heavy(options siteOptions) siteOptions {
	options.machines, options.capacity = 40, 60
	options.teams = []team{{"formulary", 16, 60}, {"surgery-links", 16, 40}, {"member-services", 40, 136}, {"dispensary-analytics", 16, 20}}
	options.state += "\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 35.0"
	return options
}

// far is the heavy hunt with the settings of sites/gaasiliit.
func far(options siteOptions) siteOptions {
	options.workers = workerTimes{3 * time.Second, 24 * time.Second}
	options.gangWaitS, options.gangPeerS, options.cancelS = 50, 4, 44
	options.machine = machineType{"valve-64g", 64, 8, 384, 0.6}
	options.state = "rps = 150.0\nwrite_rps = 60.0\nvalue_kb = 8.0\ntxn_ops = 32"
	options.stateLimits = simulator.RequestLimits{ValueBytes: 8 << 10, WritesPerTxn: 32, WritesPerSecond: 60}
	options.machines, options.capacity = 10, 24
	return options
}

func playFarHunt(s *site, trouble bool) (broken bool, err error) {
	huntPause, huntCancelShare, huntKills = 500*time.Millisecond, 0.4, true
	return playHunt(s, trouble)
}

func playHeavyHunt(s *site, trouble bool) (broken bool, err error) {
	huntPause, huntCancelShare, huntKills = 350*time.Millisecond, 0.5, true
	huntLower = rand.IntN(2) == 0
	return playHunt(s, trouble)
}

// told is what users know of a job.
type told struct {
	mu         sync.Mutex
	accepted   bool
	final      string
	asked      bool // its cancellation
	lastAnswer time.Time
}

type hunt struct {
	s     *site
	mu    sync.Mutex
	jobs  map[string]*told
	order []string
	specs map[string]*spec
	calm  atomic.Bool
}

func playHunt(s *site, _ bool) (broken bool, err error) {
	if seed, err := strconv.ParseUint(os.Getenv("HUNT_SEED"), 10, 64); err == nil {
		s.record.log("seed %d", seed)
	}
	huntLate.Store(rand.Float64() < 0.5)
	h := &hunt{s: s, jobs: map[string]*told{}, specs: map[string]*spec{}}
	s.await("a controller leads", 20*time.Second, func() bool { return s.leader() != nil })
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { h.users(end) })
	for range 6 {
		wg.Go(func() { h.poll(end.Add(40 * time.Second)) })
	}
	wg.Go(func() { h.troubles(end) })
	wg.Wait()
	for rule, n := range s.ledger.broken {
		s.record.log("RULE %s: %d, first: %s", rule, n, s.ledger.first[rule])
		broken = true
	}
	return broken, nil
}

func (h *hunt) breach(rule, format string, args ...any) {
	h.s.ledger.mu.Lock()
	defer h.s.ledger.mu.Unlock()
	h.s.ledger.breach(rule, format, args...)
}

func (h *hunt) newSpec(n int) *spec {
	id := fmt.Sprintf("j-%06d", n)
	teams := h.s.options.teams
	job := &spec{ID: id, Class: "labelcheck-score", Team: teams[rand.IntN(len(teams))].name, Shape: "sweep", Urgency: []string{"production", "urgent", "standard", "standard", "idle"}[rand.IntN(5)],
		Pieces: 1 + rand.IntN(20), CPUs: 6, GPUs: 1, RAM: 48, Bundle: fmt.Sprintf("img-%d", rand.IntN(4)), ImageGB: 1, Loaners: true, ExpectS: 5, SnapshotS: 5, StashS: 1, runS: 1 + 12*rand.Float64()}
	switch rand.IntN(5) {
	case 0:
		job.Class, job.Shape, job.Pieces, job.CPUs, job.GPUs, job.RAM = "scriptmatch-train", "gang", 1+rand.IntN(5), 28, 4, 200
		job.SamePlace = rand.IntN(2) == 0
	case 1:
		job.Class, job.Shape, job.Pieces, job.CPUs, job.GPUs, job.RAM = "batch-reconcile", "gang", 2+rand.IntN(4), 2, 0, 12
		job.SamePlace = rand.IntN(2) == 0
		job.Apart = !job.SamePlace && rand.IntN(2) == 0
	case 2:
		job.Class, job.CPUs, job.GPUs, job.RAM = "stock-tally", 1, 0, 6.4
		job.Apart = rand.IntN(3) == 0
		job.SamePlace = !job.Apart && rand.IntN(3) == 0
	}
	if rand.IntN(4) == 0 {
		hall := h.s.options.zones[rand.IntN(3)]
		if !job.Apart {
			job.Hall = &hall
		}
	}
	if rand.IntN(3) == 0 {
		h.mu.Lock()
		for range 1 + rand.IntN(2) {
			if len(h.order) > 0 {
				id := h.order[len(h.order)-1-rand.IntN(min(len(h.order), 6))]
				if t := h.jobs[id]; t.accepted && !slices.Contains(job.WaitsOn, id) {
					job.WaitsOn = append(job.WaitsOn, id)
				}
			}
		}
		h.mu.Unlock()
	}
	return job
}

func (h *hunt) users(end time.Time) {
	var wg sync.WaitGroup
	for n := 1; time.Now().Before(end); n++ {
		job := h.newSpec(n)
		h.s.ledger.addSpec(job)
		h.mu.Lock()
		h.jobs[job.ID] = &told{}
		h.specs[job.ID] = job
		h.order = append(h.order, job.ID)
		h.mu.Unlock()
		wg.Go(func() { h.submit(job) })
		time.Sleep(time.Duration(rand.Float64() * float64(huntPause)))
	}
	wg.Wait()
}

// patience is how long a user waits; some answers get lost.
func patience() time.Duration {
	if rand.IntN(4) == 0 {
		return time.Duration(1+rand.IntN(30)) * time.Millisecond
	}
	return 5 * time.Second
}

func (h *hunt) node() *node { return h.s.nodes[rand.IntN(len(h.s.nodes))] }

func (h *hunt) submit(job *spec) {
	t := h.jobs[job.ID]
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		before := h.look(job.ID)
		status, a := h.s.call(h.node(), "POST", "/work", job, patience())
		if status == 201 || status == 200 {
			h.answered(job.ID, before, status, a)
			break
		}
		if status == 400 || status == 422 {
			h.mu.Lock()
			accepted := t.accepted
			h.mu.Unlock()
			if accepted {
				h.breach("forgotten", "%s was accepted and is refused with %d", job.ID, status)
			}
			h.s.record.log("%s refused with %d: %+v", job.ID, status, *job)
			return
		}
	}
	if rand.IntN(3) == 0 { // repeated later
		time.Sleep(time.Duration(rand.Float64() * float64(20*time.Second)))
		before := h.look(job.ID)
		status, a := h.s.call(h.node(), "POST", "/work", job, 5*time.Second)
		if before.accepted && (status == 400 || status == 422) {
			h.breach("forgotten", "%s was accepted and is refused with %d", job.ID, status)
		}
		if status == 200 || status == 201 {
			h.answered(job.ID, before, status, a)
		}
	}
	if rand.Float64() < huntCancelShare {
		time.Sleep(time.Duration(rand.Float64() * float64(15*time.Second)))
		h.mu.Lock()
		t.asked = true
		h.mu.Unlock()
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
			before := h.look(job.ID)
			status, a := h.s.call(h.node(), "POST", "/work/"+job.ID+"/cancel", struct{}{}, patience())
			if status == 404 && before.accepted {
				h.breach("forgotten", "cancel of %s: 404", job.ID)
			}
			if status == http.StatusOK {
				h.answered(job.ID, before, status, a)
				if leader := h.s.leader(); huntKills && !h.calm.Load() && leader != nil && rand.IntN(huntKillOdds) == 0 {
					time.Sleep(time.Duration(rand.Float64() * float64(300*time.Millisecond)))
					h.s.record.log("TROUBLE: %s killed after a cancellation", leader.label)
					leader.signal(syscall.SIGKILL)
				}
				break
			}
		}
	}
}

type known struct {
	accepted bool
	final    string
}

func (h *hunt) look(id string) known {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.jobs[id]
	return known{t.accepted, t.final}
}

// answered checks an answer against what users knew before they asked.
func (h *hunt) answered(id string, before known, status int, a answer) {
	job := h.specs[id]
	if before.final != "" && a.Status != before.final {
		h.breach("went_back", "%s was %s and is called %s", id, before.final, a.Status)
	}
	if a.ID != id {
		h.breach("foreign", "%s is answered with %s", id, a.ID)
	}
	switch a.Status {
	case "done":
		if _, done := h.s.ledger.count(id); done < job.Pieces {
			h.s.ledger.mu.Lock()
			n := h.s.ledger.ended[id]
			h.s.ledger.mu.Unlock()
			if job.Shape != "gang" && n < job.Pieces {
				h.breach("not_done", "%s is called done with %d of %d tasks", id, n, job.Pieces)
			}
		}
	case "aborted":
		if !h.cancelAsked(id) {
			h.breach("went_back", "%s is called aborted, and nobody cancelled it", id)
		}
		h.s.ledger.toldCancelled(id)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.jobs[id]
	t.accepted, t.lastAnswer = true, time.Now()
	if a.Status == "done" || a.Status == "aborted" {
		t.final = a.Status
	}
}

func (h *hunt) cancelAsked(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for stack := []string{id}; len(stack) > 0; {
		id := stack[0]
		stack = stack[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		if h.jobs[id].asked {
			return true
		}
		stack = append(stack, h.specs[id].WaitsOn...)
	}
	return false
}

func (h *hunt) poll(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		h.mu.Lock()
		if len(h.order) == 0 {
			h.mu.Unlock()
			continue
		}
		id := h.order[rand.IntN(len(h.order))]
		h.mu.Unlock()
		before := h.look(id)
		status, a := h.s.call(h.node(), "GET", "/work/"+id, nil, 2*time.Second)
		switch {
		case status == 404 && before.accepted:
			h.breach("forgotten", "%s was accepted and is answered with 404", id)
		case status == 200:
			h.answered(id, before, status, a)
		}
		if rand.IntN(40) == 0 {
			if status, _ := h.s.call(h.node(), "GET", fmt.Sprintf("/work/j-9%05d", rand.IntN(1000)), nil, 2*time.Second); status == 200 {
				h.breach("invented", "an unknown job is answered with 200")
			}
		}
	}
	// At the end every accepted job must be known, and what is cancelled must be so.
	h.mu.Lock()
	defer h.mu.Unlock()
}

func (h *hunt) machines() (list []*worker) {
	h.s.cloud.mu.Lock()
	defer h.s.cloud.mu.Unlock()
	for _, w := range h.s.cloud.workers {
		list = append(list, w)
	}
	return list
}

// troubles causes random troubles until end, and ends them all then.
func (h *hunt) troubles(end time.Time) {
	s := h.s
	var wg sync.WaitGroup
	lasting := func(what string, seconds float64, begin, stop func()) {
		s.record.log("TROUBLE for %.1f s: %s", seconds, what)
		begin()
		wg.Go(func() {
			until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
			if until.After(end) {
				until = end
			}
			time.Sleep(time.Until(until))
			stop()
			s.record.log("over: %s", what)
		})
	}
	time.Sleep(8 * time.Second)
	if huntLower {
		s.state.SetLimits(simulator.RequestLimits{ValueBytes: 2 << 10, WritesPerTxn: 4, WritesPerSecond: 35})
		s.record.log("TROUBLE: the state service lowers its limits")
	}
	for time.Now().Before(end.Add(-3 * time.Second)) {
		n := h.node()
		if leader := s.leader(); leader != nil && rand.IntN(2) == 0 {
			n = leader
		}
		list := h.machines()
		w := list[rand.IntN(len(list))]
		some := list[:min(len(list), 1+rand.IntN(4))]
		switch huntTroubles[rand.IntN(len(huntTroubles))] {
		case 0, 1:
			s.record.log("TROUBLE: %s killed", n.label)
			s.options.restart = []time.Duration{100 * time.Millisecond, 3 * time.Second}[rand.IntN(2)]
			n.signal(syscall.SIGKILL)
		case 2:
			s.record.log("TROUBLE: all killed")
			for _, n := range s.nodes {
				n.signal(syscall.SIGKILL)
			}
		case 3:
			lasting(n.label+" stands still", 1+14*rand.Float64(), func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
		case 4:
			lasting("state service down", 2+18*rand.Float64(), func() { s.state.SetOutage(true) }, func() { s.state.SetOutage(false) })
		case 5:
			lasting(n.label+" refused by the state service", 3+15*rand.Float64(), func() { n.state.refuse(true) }, func() { n.state.refuse(false) })
		case 6:
			lasting(n.label+" cut from the state service (hold)", 3+15*rand.Float64(), func() { n.stateProxy.hold(true) }, func() { n.stateProxy.hold(false) })
		case 7:
			for _, w := range some {
				lasting(w.name+" loses the network", 2+25*rand.Float64(), func() { w.setCut(true, true) }, func() { w.setCut(false, false) })
			}
		case 8:
			for _, w := range some {
				lasting(w.name+" gets no answers", 2+25*rand.Float64(), func() { w.setCut(true, false) }, func() { w.setCut(false, false) })
			}
		case 9:
			lasting(w.name+" hangs", 2+20*rand.Float64(), func() { w.setHanging(true) }, func() { w.setHanging(false) })
		case 10:
			s.record.log("TROUBLE: %s dies", w.name)
			s.cloud.mu.Lock()
			w.kill()
			s.cloud.mu.Unlock()
		case 11:
			share := 0.3 * rand.Float64()
			lasting("state service loses answers", 3+10*rand.Float64(), func() {
				s.state.SetTxnFaults(func(_ string, _ int) simulator.TxnFault {
					switch {
					case rand.Float64() > share:
						return simulator.TxnFault{}
					case rand.IntN(2) == 0:
						return simulator.TxnFault{ReplyLost: true}
					}
					return simulator.TxnFault{ReplyLost: true, After: time.Duration(rand.Float64() * float64(15*time.Second))}
				})
			}, func() { s.state.SetTxnFaults(nil) })
		case 17:
			asNew := rand.IntN(2) == 0
			for _, w := range some {
				s.record.log("TROUBLE: %s is back at once after an end, as a new worker: %v", w.name, asNew)
				w.reboot(asNew)
			}
		case 13:
			lasting(n.label+" loses the workers", 3+25*rand.Float64(), func() { n.workersProxy.hold(true) }, func() { n.workersProxy.hold(false) })
		case 14, 15:
			lasting(n.label+" loses the state service and the other controllers, but not its workers", 5+25*rand.Float64(), func() {
				n.stateProxy.hold(true)
				n.meshProxy.hold(true)
			}, func() {
				n.stateProxy.hold(false)
				n.meshProxy.hold(false)
			})
		case 16:
			lasting("connections between controllers are refused", 5+25*rand.Float64(), func() {
				for _, n := range s.nodes {
					n.meshProxy.reset(true)
				}
			}, func() {
				for _, n := range s.nodes {
					n.meshProxy.reset(false)
				}
			})
		case 12:
			s.record.log("TROUBLE: %s is taken back with notice", w.name)
			w.mu.Lock()
			w.recall, w.changed = time.Now().Add(8*time.Second), true
			w.mu.Unlock()
			time.AfterFunc(8*time.Second, func() {
				s.cloud.mu.Lock()
				defer s.cloud.mu.Unlock()
				delete(s.cloud.workers, w.name)
				w.kill()
			})
		}
		time.Sleep(time.Duration(rand.Float64() * float64(6*time.Second)))
	}
	wg.Wait()
	h.calm.Store(true)
	s.record.log("all troubles over")
	time.Sleep(time.Until(end.Add(38 * time.Second)))
	h.mu.Lock()
	defer h.mu.Unlock()
	open := 0
	for _, id := range h.order {
		t := h.jobs[id]
		if t.accepted && time.Since(t.lastAnswer) > 33*time.Second {
			s.record.log("no answer for %s since %.0f s", id, time.Since(t.lastAnswer).Seconds())
		}
		if t.accepted && t.final == "" {
			open++
		}
	}
	s.record.log("jobs %d, still open %d, term %d", len(h.order), open, s.term())
}

// reboot has the machine back at once, without its tasks and images: with the next session, or as a
// new worker.
func (w *worker) reboot(asNew bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, piece := range w.pieces {
		if piece.Status != "exited" {
			w.left(piece)
			w.ledger.end(w.name, piece.Piece, "machine rebooted")
		}
		delete(w.pieces, key)
	}
	w.images = map[string]time.Time{}
	w.leaseStart, w.changed = time.Now(), true
	w.shift++
	if asNew {
		w.shift, w.tick, w.warrant = 1, 0, 0
	}
}

func (w *worker) setHanging(hanging bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = hanging
}

// strict is the hunt on a platform that is as slow and as late as the pages allow.
func strict(options siteOptions) siteOptions {
	options.strict = true
	return options
}

// playRebootHunt: machines end and are back at once, among the other troubles.
func playRebootHunt(s *site, trouble bool) (broken bool, err error) {
	huntPause, huntCancelShare, huntKills = 500*time.Millisecond, 0.4, true
	huntTroubles = append(huntTroubles, 17, 17, 17, 17, 17, 17, 17, 17)
	return playHunt(s, trouble)
}

// playChurnHunt: a job of many tasks makes checkpoints that the lowered limits refuse, so that terms
// end one after another.
func playChurnHunt(s *site, trouble bool) (broken bool, err error) {
	huntPause, huntCancelShare, huntLower = 350*time.Millisecond, 0.5, true
	huntTroubles = []int{7, 8, 8, 9, 10, 12}
	if err := s.await("a controller leads", 20*time.Second, func() bool { return s.leader() != nil }); err != nil {
		return false, err
	}
	if err := s.submit(&spec{
		ID: "j-800001", Class: "stock-tally", Team: "surgery-links", Shape: "sweep", Urgency: "standard", Pieces: 40000,
		CPUs: 1, RAM: 6.4, Bundle: "tally", ImageGB: 1, Loaners: true, ExpectS: 2, runS: 2,
	}); err != nil {
		return false, err
	}
	return playHunt(s, trouble)
}

func churn(options siteOptions) siteOptions {
	options = heavy(options)
	options.machines, options.capacity = 110, 140
	return options
}
