package main

import (
	"fmt"
	"strings"
	"time"

	"thornnotch/internal/simulator"
)

// leftWaiting: the state service lowers its limits as state.next has announced, one machine has
// half of the images that the deployment's classes have, and some long tasks run. Is a job left waiting for
// 90 s while the machine has room?
func leftWaiting(s *site, dir string, trouble bool) int {
	const images = 21 // half of what the classes of kit/change/gaasiliit-next.toml have
	s.controllers, s.reportS = 5, 5
	s.asGaasiliit(dir, "count = 3", "count = 5", "report_s = 3.0", "report_s = 5.0",
		"gang_wait_s = 35.0", "gang_wait_s = 50.0", "gang_peer_s = 8.0", "gang_peer_s = 4.0",
		"txn_ops = 32\n", "txn_ops = 32\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 10\nwrite_rps = 42.0\n")
	if !s.waitForNodes(dir) {
		return couldnt
	}
	if trouble {
		s.log("state service: values of 2 KiB and 10 changes a transaction at most, 42 changes a second, from now on")
		s.state.SetLimits(simulator.RequestLimits{ValueBytes: 2048, WritesPerTxn: 10, WritesPerSecond: 42})
	}
	s.mu.Lock()
	worker := s.cloud.rigs[s.addRig(s.halls[0], true)].w
	s.mu.Unlock()
	submit := func(number int, runS float64) string {
		id := fmt.Sprintf("j-%06d", number)
		body := strings.Replace(strings.Replace(job(id, "dispatch", 1, 1, 0, 4.8, runS), "labelcheck-score", "meter-clean", 1), "img-07",
			fmt.Sprintf("images.gaasiliit.example/meter-clean@sha256:%064x", number%images), 1)
		if !s.submit(s.nodes[number%len(s.nodes)], body) {
			s.log("%s was not accepted", id) // the case then can't run: its questions get no 200
		}
		return id
	}
	submit(400, 600)
	for number := 401; number < 400+images; number++ {
		go submit(number, 1)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	var ids []string
	acceptedAt := make(map[string]time.Time)
	for number := 501; number <= 508; number++ {
		id := submit(number, 600)
		ids = append(ids, id)
		acceptedAt[id] = time.Now()
	}
	lastAccepted := time.Now()
	ran := make(map[string]bool)
	waitedS := make(map[string]float64) // from the acceptance to the last question that was answered with "pending"
	mostTasks := 0                      // on the machine, of 1 CPU and 4.8 GB each; finished ones count
	for round, over := 0, false; !over; round++ {
		time.Sleep(5 * time.Second)
		over = time.Since(lastAccepted) > 90*time.Second
		for i, id := range ids {
			askedAt := time.Now()
			status, body := s.user(s.nodes[(round+i)%len(s.nodes)], "GET", "/work/"+id, nil)
			switch {
			case status == 200 && strings.Contains(body, `"status":"pending"`):
				waitedS[id] = askedAt.Sub(acceptedAt[id]).Seconds()
			case status == 200:
				ran[id] = true
			}
		}
		worker.mu.Lock()
		mostTasks = max(mostTasks, len(worker.tasks))
		worker.mu.Unlock()
	}
	hasRoom := float64(mostTasks+1) <= s.cpus && float64(mostTasks+1)*4.8 <= s.ramGb
	result := held
	for _, id := range ids {
		if !ran[id] && waitedS[id] >= 90 && hasRoom {
			s.log("BROKEN: %s has waited for %.1f s, at most %d of the machine's 64 CPUs were in use", id, waitedS[id], mostTasks)
			result = broken
		}
		if !ran[id] && waitedS[id] == 0 {
			return couldnt
		}
	}
	return result
}
