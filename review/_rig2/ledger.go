package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// spec is a submission, as the users send it.
type spec struct {
	ID        string   `json:"nameId"`
	Class     string   `json:"workload"`
	Team      string   `json:"owner"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"accelerators"`
	RAM       float64  `json:"ramGb"`
	Bundle    string   `json:"bundle"`
	ImageGB   float64  `json:"imageGb"`
	RigTypes  []string `json:"rigTypes"`
	Hall      *string  `json:"hall"`
	SamePlace bool     `json:"samePlace"`
	Apart     bool     `json:"apart"`
	Loaners   bool     `json:"loaners"`
	ExpectS   float64  `json:"expectS"`
	SnapshotS float64  `json:"snapshotS"`
	StashS    float64  `json:"stashS"`
	DueS      *float64 `json:"dueS"`
	WaitsOn   []string `json:"waitsOn,omitempty"`
	runS      float64  // how long a task really runs
}

// placedPiece is a task that is on a machine, from the moment that the machine holds its image.
type placedPiece struct {
	machine string
	try     uint64
	spec    *spec
}

// ledger knows what really is on the machines and checks the rules.
type ledger struct {
	record *record
	gpuMax map[string]float64 // by team; 0: none
	cancel time.Duration

	mu        sync.Mutex
	specs     map[string]*spec
	placed    map[string]map[string]placedPiece // by piece, then machine
	gpus      map[string]float64                // in use, by team
	cancelled map[string]time.Time              // when the user was told
	started   map[string]int                    // starts of tasks, by job
	ended     map[string]int                    // tasks done, by job
	broken    map[string]int                    // breaches by rule
	first     map[string]string                 // the first breach of each rule
	halls     map[string]string                 // by machine
	// startOrders are the tasks of cancelled jobs that a machine was told to run in answer to a
	// report that it sent after the job's user had been told.
	startOrders []string
}

func newLedger(record *record, gpuMax map[string]float64, cancel time.Duration) *ledger {
	return &ledger{
		record: record, gpuMax: gpuMax, cancel: cancel,
		specs: map[string]*spec{}, placed: map[string]map[string]placedPiece{}, gpus: map[string]float64{},
		cancelled: map[string]time.Time{}, started: map[string]int{}, ended: map[string]int{},
		broken: map[string]int{}, first: map[string]string{}, halls: map[string]string{},
	}
}

func (l *ledger) addSpec(s *spec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[s.ID] = s
}

func (l *ledger) spec(job string) *spec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.specs[job]
}

func (l *ledger) toldCancelled(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, told := l.cancelled[job]; !told {
		l.cancelled[job] = time.Now()
	}
}

func (l *ledger) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.broken[rule]++
	if l.first[rule] == "" {
		l.first[rule] = text
	}
	if l.broken[rule] <= 20 {
		l.record.log("BREACH %s: %s", rule, text)
	}
}

// ordered records a `run` in the answer to a report that was sent at sentAt.
func (l *ledger) ordered(machine, piece string, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(piece, "/")
	if told, ok := l.cancelled[job]; ok && sentAt.After(told) {
		l.startOrders = append(l.startOrders, piece)
		l.record.log("%s is told to run %s in answer to a report that it sent %.2f s after the user was told", machine, piece, sentAt.Sub(told).Seconds())
	}
}

// start records that a task is on a machine from now on.
func (l *ledger) start(machine, piece string, try uint64, s *spec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.trace("start %s try %d on %s", piece, try, machine)
	for other := range l.placed[piece] {
		l.breach("ran_twice", "%s starts on %s while it is on %s", piece, machine, other)
	}
	l.checkPlace(machine, piece, s)
	for _, id := range s.WaitsOn {
		if up := l.specs[id]; up.Shape != "gang" && l.ended[id] < up.Pieces || up.Shape == "gang" && l.ended[id] == 0 {
			l.breach("too_early", "%s starts on %s before %s is done", piece, machine, id)
		}
	}
	if told, ok := l.cancelled[s.ID]; ok && time.Since(told) > l.cancel {
		l.breach("ran_cancelled", "%s starts on %s %.1f s after its user was told", piece, machine, time.Since(told).Seconds())
	}
	if l.placed[piece] == nil {
		l.placed[piece] = map[string]placedPiece{}
	}
	l.placed[piece][machine] = placedPiece{machine, try, s}
	l.started[s.ID]++
	l.gpus[s.Team] += s.GPUs
	if limit := l.gpuMax[s.Team]; limit > 0 && l.gpus[s.Team] > limit+1e-6 {
		l.breach("quota", "team %s uses %.1f GPUs of at most %.1f after the start of %s on %s", s.Team, l.gpus[s.Team], limit, piece, machine)
	}
}

// checkPlace checks where a task starts, given the job's other tasks.
func (l *ledger) checkPlace(machine, piece string, s *spec) {
	hall := l.halls[machine]
	if s.Hall != nil && *s.Hall != hall {
		l.breach("wrong_place", "%s starts in %s", piece, hall)
	}
	if !s.SamePlace && !s.Apart {
		return
	}
	here := 1
	for other, machines := range l.placed {
		if !strings.HasPrefix(other, s.ID+"/") {
			continue
		}
		for name := range machines {
			if s.SamePlace && l.halls[name] != hall {
				l.breach("wrong_place", "%s starts in %s while %s is in %s", piece, hall, other, l.halls[name])
			}
			if l.halls[name] == hall {
				here++
			}
		}
	}
	if s.Apart && here > (s.Pieces+1)/2 {
		l.breach("wrong_place", "%s is number %d of %d in %s", piece, here, s.Pieces, hall)
	}
}

// end records that a task is no longer on a machine.
func (l *ledger) end(machine, piece string, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.placed[piece][machine]
	if !ok {
		return
	}
	l.record.trace("end %s try %d on %s: %s", piece, p.try, machine, why)
	delete(l.placed[piece], machine)
	l.gpus[p.spec.Team] -= p.spec.GPUs
	if why == "done" {
		l.ended[p.spec.ID]++
	}
	if told, ok := l.cancelled[p.spec.ID]; ok && time.Since(told) > l.cancel {
		l.breach("ran_cancelled", "%s was on %s until %.1f s after its user was told", piece, machine, time.Since(told).Seconds())
	}
}

// onMachine counts a job's tasks on each machine.
func (l *ledger) onMachine(job string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for piece, machines := range l.placed {
		if strings.HasPrefix(piece, job+"/") {
			for machine := range machines {
				counts[machine]++
			}
		}
	}
	return counts
}

func (l *ledger) inUse(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gpus[team]
}

func (l *ledger) count(job string) (started, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[job], l.ended[job]
}

func (l *ledger) breaches(rule string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken[rule]
}
