package attestation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAttestationCoversConfirmedCancellations has nodes confirm cancellations, restart, and
// answer the leader late or never, with clocks that drift apart. The leader must know, from
// its watch or from an attestation, every cancellation confirmed to a user before the time up
// to which it considers all of them known. Removing any one condition of the argument makes
// this test fail.
func TestAttestationCoversConfirmedCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			s.advance(t, 0, 4000, "pause")
			if rapid.IntRange(0, 9).Draw(t, "long outage") == 0 {
				s.now = s.now.Add(3 * time.Hour) // lets the clocks drift far apart
			}
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2:
				s.cancelJob(t)
			case 3:
				s.restartNode(t)
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "watch answers") == 0 {
					s.answerWatch()
				}
			default:
				s.askNodes(t)
			}
			s.checkConfirmedAreKnown(t)
		}
	})
}

// modelNodes is the number of nodes in the model; the first one leads.
const modelNodes = 3

// process is a node's process in the model. Its clock drifts from true time.
type process struct {
	log          *CancellationLog
	clockRate    float64   // relative to true time
	startedAt    time.Time // in true time
	clockAtStart time.Time // reading of its own clock at startedAt
}

// clock returns what the process's clock reads at a true time.
func (p *process) clock(at time.Time) time.Time {
	return p.clockAtStart.Add(time.Duration(float64(at.Sub(p.startedAt)) * p.clockRate))
}

// confirmation is one cancellation and the time at which it was confirmed to a user.
type confirmation struct {
	jobID string
	at    time.Time
}

// simulation is one generated history, in true time.
type simulation struct {
	now       time.Time
	processes [modelNodes]*process
	leader    *process // the process whose clock the leader reads
	// watchedUntil is the time of the watch's last proof. The leader considers itself to know
	// all cancellations up to knownUntil. known holds the IDs of the jobs whose cancellation
	// it does know.
	watchedUntil, knownUntil time.Time
	known                    map[string]bool
	confirmations            []confirmation
	cancelledJobs            int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: time.Unix(5000, 0), known: map[string]bool{}}
	for i := range s.processes {
		s.processes[i] = s.startProcess(t)
	}
	s.leader = s.processes[0]
	s.watchedUntil, s.knownUntil = s.now, s.now
	return s
}

func (s *simulation) startProcess(t *rapid.T) *process {
	p := &process{clockRate: 1 + rapid.Float64Range(-0.0005, 0.0005).Draw(t, "drift"), startedAt: s.now, clockAtStart: s.now.Add(time.Hour)}
	p.log = NewCancellationLog(4, p.clockAtStart)
	return p
}

// advance moves the time on by minMS to maxMS milliseconds.
func (s *simulation) advance(t *rapid.T, minMS, maxMS int, label string) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(minMS, maxMS).Draw(t, label)) * time.Millisecond)
}

// cancelJob records a cancellation: a node adds it to its log and confirms it to the user
// some time later.
func (s *simulation) cancelJob(t *rapid.T) {
	p := s.processes[rapid.IntRange(0, modelNodes-1).Draw(t, "confirming node")]
	id := fmt.Sprint("j-", s.cancelledJobs)
	s.cancelledJobs++
	p.log.Add(id, p.clock(s.now))
	s.advance(t, 0, 300, "confirmation delay")
	s.confirmations = append(s.confirmations, confirmation{id, s.now})
}

// restartNode replaces the process of a node that does not lead.
func (s *simulation) restartNode(t *rapid.T) {
	i := rapid.IntRange(1, modelNodes-1).Draw(t, "restarted node")
	s.processes[i] = s.startProcess(t)
}

// answerWatch answers the leader's watch with everything recorded before its request.
func (s *simulation) answerWatch() {
	s.watchedUntil = s.now
	s.advanceKnownUntil(s.now)
	for _, confirmed := range s.confirmations {
		s.known[confirmed.jobID] = true
	}
}

// askNodes runs one attestation round. Jobs are cancelled while the questions are in transit;
// a node may not be asked, and an answer may be lost.
func (s *simulation) askNodes(t *rapid.T) {
	askedAt := s.now
	window := Window(s.leader.clock(askedAt), s.leader.clock(s.watchedUntil))
	var attestations []Attestation
	for i := range rapid.IntRange(modelNodes-1, modelNodes).Draw(t, "nodes asked") {
		delay := rapid.SampledFrom([]int{0, 1, 40, 400, 1400, 6000}).Draw(t, "delay")
		s.now = s.now.Add(time.Duration(delay) * time.Millisecond)
		if rapid.IntRange(0, 3).Draw(t, "cancellation in transit") == 0 {
			s.cancelJob(t)
		}
		var answer Attestation
		answer.Cancelled, answer.Complete = s.processes[i].log.Since(window, s.processes[i].clock(s.now))
		if rapid.IntRange(0, 9).Draw(t, "answer lost") == 0 {
			answer = Attestation{} // the answer is lost
		}
		attestations = append(attestations, answer)
	}
	cancelled, complete := Merge(attestations, modelNodes)
	if !complete || AnsweredTooLate(s.leader.clock(askedAt), s.leader.clock(s.now)) {
		return
	}
	for _, id := range cancelled {
		s.known[id] = true
	}
	s.advanceKnownUntil(askedAt)
}

// advanceKnownUntil notes that the leader considers itself to know all cancellations up to at.
func (s *simulation) advanceKnownUntil(at time.Time) {
	if at.After(s.knownUntil) {
		s.knownUntil = at
	}
}

// checkConfirmedAreKnown fails if the leader does not know a cancellation that was confirmed
// before knownUntil.
func (s *simulation) checkConfirmedAreKnown(t *rapid.T) {
	t.Helper()
	for _, confirmed := range s.confirmations {
		if confirmed.at.Before(s.knownUntil) && !s.known[confirmed.jobID] {
			t.Fatalf("all cancellations considered known until %v, but that of %s, confirmed at %v, is not", s.knownUntil, confirmed.jobID, confirmed.at)
		}
	}
}
