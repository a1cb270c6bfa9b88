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
			s.log("%s was not accepted", id)
		}
		return id
	}
	submit(400, 600)
	for number := 401; number < 400+images; number++ {
		go submit(number, 1)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	submittedAt := time.Now()
	var ids []string
	for number := 501; number <= 508; number++ {
		ids = append(ids, submit(number, 600))
	}
	ran := make(map[string]bool)
	answers := make(map[string]int)
	mostTasks := 0
	for round := 0; time.Since(submittedAt) < 92*time.Second; round++ {
		time.Sleep(5 * time.Second)
		for i, id := range ids {
			if status, body := s.user(s.nodes[(round+i)%len(s.nodes)], "GET", "/work/"+id, nil); status == 200 {
				answers[id]++
				ran[id] = ran[id] || !strings.Contains(body, "pending")
			}
		}
		worker.mu.Lock()
		mostTasks = max(mostTasks, len(worker.tasks))
		worker.mu.Unlock()
	}
	if len(answers) < len(ids) {
		return couldnt
	}
	result := held
	for _, id := range ids {
		if !ran[id] {
			s.log("BROKEN: %s has waited for 90 s, at most %d of the machine's 64 CPUs were in use", id, mostTasks)
			result = broken
		}
	}
	return result
}
