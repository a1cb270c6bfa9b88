package attestation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestVouchedIsComplete: nodes tell users of cancellations, end and begin anew,
// answer a leader late or never, by clocks that run apart. Whatever time a leader
// takes to be certain up to, it knows of every cancellation that a user was told of
// before: from its watch, or because a node named it. Each condition of the
// argument, taken out, makes this fail.
func TestVouchedIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			r.pass(t, 0, 4000, "pause")
			if rapid.IntRange(0, 9).Draw(t, "long outage") == 0 {
				r.now = r.now.Add(3 * time.Hour) // what clocks run apart adds up
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				r.cancelJob(t)
			case 3:
				r.restartNode(t)
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "watch answers") == 0 {
					r.answerWatch()
				}
			default:
				r.askNodes(t)
			}
			r.checkCertainty(t)
		}
	})
}

// nodes is the number of nodes in the model; the first leads.
const nodes = 3

// process is a node's process in the model. Its clock runs apart from true time.
type process struct {
	log   *CancellationLog
	rate  float64   // of its clock
	start time.Time // by the true clock
	base  time.Time // its own clock then
}

func (p *process) clock(at time.Time) time.Time {
	return p.base.Add(time.Duration(float64(at.Sub(p.start)) * p.rate))
}

// confirmation is what a user was told.
type confirmation struct {
	jobID string
	at    time.Time
}

// run is one generated history, by the true clock.
type run struct {
	now       time.Time
	processes [nodes]*process
	leader    *process // whose clock the leader reads
	// lastWatched is the leader's last proof from its watch, certainUntil up to when it
	// takes itself to know all cancellations, known what it knows.
	lastWatched, certainUntil time.Time
	known                     map[string]bool
	confirmations             []confirmation
	jobs                      int
}

func newRun(t *rapid.T) *run {
	r := &run{now: time.Unix(5000, 0), known: map[string]bool{}}
	for i := range r.processes {
		r.processes[i] = r.startProcess(t)
	}
	r.leader = r.processes[0]
	r.lastWatched, r.certainUntil = r.now, r.now
	return r
}

func (r *run) startProcess(t *rapid.T) *process {
	p := &process{rate: 1 + rapid.Float64Range(-0.0005, 0.0005).Draw(t, "drift"), start: r.now, base: r.now.Add(time.Hour)}
	p.log = NewCancellationLog(4, p.base)
	return p
}

// pass lets time pass, between least and most milliseconds.
func (r *run) pass(t *rapid.T, least, most int, label string) {
	r.now = r.now.Add(time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond)
}

// cancelJob: the cancellation is recorded; a node adds it to its log, and a while later
// tells a user.
func (r *run) cancelJob(t *rapid.T) {
	p := r.processes[rapid.IntRange(0, nodes-1).Draw(t, "by")]
	id := fmt.Sprint("j-", r.jobs)
	r.jobs++
	p.log.Add(id, p.clock(r.now))
	r.pass(t, 0, 300, "answering")
	r.confirmations = append(r.confirmations, confirmation{id, r.now})
}

// restartNode ends the process of a node that does not lead, and begins another.
func (r *run) restartNode(t *rapid.T) {
	i := rapid.IntRange(1, nodes-1).Draw(t, "who ends")
	r.processes[i] = r.startProcess(t)
}

// answerWatch tells the leader all that was recorded before its question.
func (r *run) answerWatch() {
	r.lastWatched = r.now
	r.certainAt(r.now)
	for _, told := range r.confirmations {
		r.known[told.jobID] = true
	}
}

// askNodes is a round of attestation. Cancellations go on while the question is under way;
// a node may not be asked, and an answer may be lost.
func (r *run) askNodes(t *rapid.T) {
	asked := r.now
	window := Window(r.leader.clock(asked), r.leader.clock(r.lastWatched))
	var attestations []Attestation
	for i := range rapid.IntRange(nodes-1, nodes).Draw(t, "asked of") {
		delay := rapid.SampledFrom([]int{0, 1, 40, 400, 1400, 6000}).Draw(t, "way")
		r.now = r.now.Add(time.Duration(delay) * time.Millisecond)
		if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
			r.cancelJob(t)
		}
		var answer Attestation
		answer.Cancelled, answer.Complete = r.processes[i].log.Since(window, r.processes[i].clock(r.now))
		if rapid.IntRange(0, 9).Draw(t, "answer") == 0 {
			answer = Attestation{} // lost
		}
		attestations = append(attestations, answer)
	}
	cancelled, complete := Merge(attestations, nodes)
	if !complete || AnsweredTooLate(r.leader.clock(asked), r.leader.clock(r.now)) {
		return
	}
	for _, id := range cancelled {
		r.known[id] = true
	}
	r.certainAt(asked)
}

// certainAt: the leader takes itself to know all cancellations up to at.
func (r *run) certainAt(at time.Time) {
	if at.After(r.certainUntil) {
		r.certainUntil = at
	}
}

// checkCertainty: the leader knows of all that users were told before it is certain.
func (r *run) checkCertainty(t *rapid.T) {
	t.Helper()
	for _, told := range r.confirmations {
		if told.at.Before(r.certainUntil) && !r.known[told.jobID] {
			t.Fatalf("certain until %v, but %s, told at %v, is not known", r.certainUntil, told.jobID, told.at)
		}
	}
}
