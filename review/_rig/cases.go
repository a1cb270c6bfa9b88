package main

import (
	"strings"
	"sync"
	"time"
)

const shirebrook = `[params]
count = 3
zones = ["derby-hall", "leicester-depot", "nottingham-annex"]
clock_off_ms = 25.0
[[params.teams]]
name = "formulary"
cpus = 0.0
cpus_max = 0.0
gpus = 16.0
gpus_max = 40.0
[[params.teams]]
name = "member-services"
cpus = 0.0
cpus_max = 0.0
gpus = 40.0
gpus_max = 136.0
[[params.objectives]]
kind = "finished"
class = "labelcheck-score"
within_s = 180.0
share = 0.94
[params.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 37.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 12
[params.cloud]
rps = 2.0
list_lag_s = 10.0
[params.machine_limits]
cores = 0.144
mem_mb = 125.0
sockets = 1200
`

// asShirebrook sets the site up as kit/sites/shirebrookrx.toml does, for the first deployment.
func (s *site) asShirebrook(dir string) {
	s.controllers = 3
	s.reportS, s.leaseS, s.listLagS, s.readyS, s.pullGbPerS = 2, 12, 10, 25, 0.5
	s.kind, s.cpus, s.gpus, s.ramGb = "dispenser-32g", 32, 4, 256
	s.halls = []string{"derby-hall", "leicester-depot", "nottingham-annex"}
	s.addNodes(dir, shirebrook)
}

// asGaasiliit sets the site up as kit/sites/gaasiliit.toml does, for the second deployment. changes
// are further replacements in the settings, by turns old and new.
func (s *site) asGaasiliit(dir string, changes ...string) {
	s.controllers = max(s.controllers, 3)
	s.reportS, s.leaseS, s.listLagS, s.readyS, s.pullGbPerS = max(s.reportS, 3), 24, 5, 35, 0.5
	s.kind, s.cpus, s.gpus, s.ramGb = "valve-64g", 64, 8, 384
	s.halls = []string{"tallinn-core", "tartu-reserve", "parnu-edge"}
	params := strings.NewReplacer(
		`"derby-hall", "leicester-depot", "nottingham-annex"`, `"tallinn-core", "tartu-reserve", "parnu-edge"`,
		"report_s = 2.0", "report_s = 3.0", "lease_s = 12.0", "lease_s = 24.0", "cancel_s = 37.0", "cancel_s = 44.0",
		"write_rps = 50.0", "write_rps = 60.0", "value_kb = 16.0", "value_kb = 8.0", "txn_ops = 12", "txn_ops = 32",
		"rps = 2.0", "rps = 4.0", "list_lag_s = 10.0", "list_lag_s = 5.0",
		"cores = 0.144", "cores = 0.3", "mem_mb = 125.0", "mem_mb = 234.0", "sockets = 1200", "sockets = 2000",
		"formulary", "dispatch", "member-services", "shipper-desk", "labelcheck-score", "flow-score",
	).Replace(shirebrook)
	s.addNodes(dir, strings.NewReplacer(changes...).Replace(params))
}

// staleReturn: the leader rents machines and then loses the state service alone for 45 s, while they
// boot. They report to the new leader and run its tasks. Does the old leader leave
// them alone?
func staleReturn(s *site, dir string, trouble bool) int {
	const cutFrom, cutFor, boot = 32.2, 45.0, 37.4 // s after the rental, s, s; readyS is 25
	s.cloud.capacity = 6
	s.cloud.bootS = func(int) float64 { return boot }
	s.asShirebrook(dir)
	if !s.waitForNodes(dir) || !s.submit(s.nodes[0], job("j-000101", "formulary", 24, 6, 1, 48, 60)) {
		return couldnt
	}
	rentedBy, rentedAt := s.awaitRental()
	if rentedBy == "" {
		return couldnt
	}
	time.Sleep(time.Until(rentedAt.Add(seconds(cutFrom))))
	heal := func() {}
	if trouble {
		s.log("network: %s is cut from the state service, and from nothing else", rentedBy)
		heal = s.node(rentedBy).cutFromState()
	}
	time.Sleep(time.Until(rentedAt.Add(seconds(cutFrom + cutFor))))
	if trouble {
		s.log("network: the cut ends")
	}
	heal()
	time.Sleep(time.Until(rentedAt.Add(80 * time.Second)))
	s.user(s.otherNode(rentedBy), "GET", "/work/j-000101", nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	if len(s.starts) == 0 {
		s.log("no task was started")
		return couldnt
	}
	result := held
	for _, event := range s.cloud.returned {
		// The machine is served by another node under a token of its own, runs tasks of an
		// accepted job that nobody has cancelled or stopped, and is given back all the same.
		if len(event.running) > 0 && event.servedBy != event.caller {
			s.log("BROKEN: %s gave back %s, which %s leads with token %d, with %d running tasks", event.caller, event.rig, event.servedBy, event.warrant, len(event.running))
			result = broken
		}
	}
	return result
}

// awaitRental waits until a controller has rented machines.
func (s *site) awaitRental() (node string, at time.Time) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		at = s.cloud.firstRent
		node = s.cloud.firstRenter
		s.mu.Unlock()
		if !at.IsZero() {
			return node, at
		}
	}
	return "", at
}

// staleStart: a task is placed and recorded, and waits for its machine's next report. The state
// service refuses the leader alone, and the user cancels the job at another node. Does the job
// start all the same?
func staleStart(s *site, dir string, trouble bool) int {
	s.asGaasiliit(dir)
	if !s.waitForNodes(dir) {
		return couldnt
	}
	s.mu.Lock()
	name := s.addRig(s.halls[0], true)
	worker := s.cloud.rigs[name].w
	s.mu.Unlock()
	worker.interval = func() time.Duration { return seconds(s.reportS * 0.87) }
	var mu sync.Mutex
	type reply struct {
		node   string
		sentAt time.Time
		orders []order
	}
	var replies []reply
	news := make(chan reply, 100)
	worker.mu.Lock()
	worker.onReply = func(node string, sentAt time.Time, orders []order) {
		mu.Lock()
		replies = append(replies, reply{node, sentAt, orders})
		mu.Unlock()
		news <- reply{node, sentAt, orders}
	}
	worker.mu.Unlock()
	if !s.submit(s.nodes[0], job("j-000200", "dispatch", 1, 6, 1, 36, 600)) {
		return couldnt
	}
	if !s.awaitStart("j-000200/0", 30*time.Second) {
		return couldnt
	}
	result := held
	rounds := 0
	for _, id := range []string{"j-000201", "j-000202", "j-000203", "j-000204"} {
		time.Sleep(3 * time.Second)
		for len(news) > 0 {
			<-news
		}
		var last reply
		for quiet := false; !quiet; { // a regular report that found nothing new
			last = <-news
			quiet = len(last.orders) == 0
		}
		leader, other := last.node, s.otherNode(last.node)
		s.upload([]byte(job(id, "dispatch", 1, 6, 1, 36, 60)))
		if status, _ := s.user(other, "POST", "/work", []byte(job(id, "dispatch", 1, 6, 1, 36, 60))); status != 201 {
			continue
		}
		time.Sleep(350 * time.Millisecond)
		if trouble {
			s.log("state service: refuses %s alone from now on", leader)
			s.state.RefuseHost(leader, true)
		}
		time.Sleep(50 * time.Millisecond)
		status, _ := s.user(other, "POST", "/work/"+id+"/cancel", nil)
		toldAt := time.Now()
		time.Sleep(8 * time.Second)
		if trouble {
			s.log("state service: serves %s again", leader)
			s.state.RefuseHost(leader, false)
		}
		if status != 200 {
			continue
		}
		rounds++
		mu.Lock()
		for _, r := range replies {
			for _, o := range r.orders {
				if o.Verb == "run" && strings.HasPrefix(o.Piece, id+"/") && r.sentAt.After(toldAt) {
					s.log("BROKEN: the user was told at %s that %s is cancelled; %s ordered its start in the answer to a report sent at %s", s.stamp(toldAt), id, r.node, s.stamp(r.sentAt))
					result = broken
				}
			}
		}
		mu.Unlock()
		if result == broken {
			break
		}
	}
	if rounds == 0 {
		return couldnt
	}
	return result
}

// awaitStart waits until a task has started.
func (s *site) awaitStart(piece string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		s.jobsMu.Lock()
		for _, start := range s.starts {
			if start.piece == piece {
				s.jobsMu.Unlock()
				return true
			}
		}
		s.jobsMu.Unlock()
	}
	s.log("%s has not started", piece)
	return false
}

// otherField: a user's submission carries one more field, whose name differs from one of the
// protocol's fields in its letters' case. Is it ignored?
func otherField(s *site, dir string, trouble bool) int {
	s.cloud.capacity = 6
	s.asShirebrook(dir)
	if !s.waitForNodes(dir) {
		return couldnt
	}
	inDerby := strings.Replace(job("j-000301", "formulary", 4, 6, 1, 48, 5), `"hall":null`, `"hall":"derby-hall"`, 1)
	named := job("j-000302", "formulary", 1, 6, 1, 48, 5)
	s.upload([]byte(inDerby))
	s.upload([]byte(named))
	if trouble {
		inDerby = strings.TrimSuffix(inDerby, "}") + `,"Hall":"leicester-depot"}`
		named = strings.TrimSuffix(named, "}") + `,"NameID":"j-000399"}`
	}
	for _, body := range []string{inDerby, named} {
		if status, _ := s.user(s.nodes[0], "POST", "/work", []byte(body)); status != 201 {
			s.log("the submission was not accepted")
			return couldnt
		}
	}
	result := held
	for range 12 { // users poll about every 5 s
		time.Sleep(5 * time.Second)
		first, _ := s.user(s.nodes[1], "GET", "/work/j-000301", nil)
		second, _ := s.user(s.nodes[2], "GET", "/work/j-000302", nil)
		if first == 404 || second == 404 {
			s.log("BROKEN (forgotten): an accepted job is answered with 404")
			result = broken
		}
		if status, _ := s.user(s.nodes[1], "GET", "/work/j-000399", nil); status == 200 {
			s.log("BROKEN (invented): j-000399, which nobody submitted, is answered with 200")
			result = broken
		}
		s.jobsMu.Lock()
		derby := 0
		for _, start := range s.starts {
			if strings.HasPrefix(start.piece, "j-000301/") {
				derby++
				if start.hall != "derby-hall" {
					s.log("BROKEN (wrong_place): %s of a job whose hall is derby-hall started on %s in %s", start.piece, start.rig, start.hall)
					result = broken
				}
			}
		}
		s.jobsMu.Unlock()
		if derby >= 4 {
			return result
		}
	}
	s.log("j-000301 was not started")
	if result == held {
		return couldnt
	}
	return result
}
