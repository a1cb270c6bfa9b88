// Command rig is the stand-in site of the review's cases, and the users that drive them. It
// writes the settings of the controllers into a folder; the script of the case starts these.
//
//	rig CASE DIR RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"thornnotch/internal/simulator"
)

const (
	held    = 0
	broken  = 1
	couldnt = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR RECORD")
		os.Exit(couldnt)
	}
	cases := map[string]func(s *site, dir string, trouble bool) int{
		"stale-return": staleReturn,
		"stale-start":  staleStart,
		"other-field":  otherField,
		"left-waiting": leftWaiting,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig: unknown case", os.Args[1])
		os.Exit(couldnt)
	}
	record, err := os.Create(os.Args[3])
	check(err)
	s := &site{
		began: time.Now(), host: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250)), state: simulator.NewStateService(), record: record, specs: map[string]*spec{},
		cloud: cloud{
			rigs: map[string]*rented{}, requests: map[string][]string{},
			bootS: func(int) float64 { return 1 }, firstNode: func(number int) int { return number % 3 },
		},
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, trouble: %v", os.Args[1], trouble)
	time.AfterFunc(117*time.Second, func() {
		s.log("result: 2, the time is over")
		os.Exit(couldnt)
	})
	result := play(s, os.Args[2], trouble)
	s.log("result: %d (0 held, 1 broken, 2 could not run)", result)
	_ = record.Close()
	os.Exit(result)
}

// waitForNodes tells the script to start the controllers and waits until all are ready.
func (s *site) waitForNodes(dir string) bool {
	check(os.WriteFile(filepath.Join(dir, "settings-written"), nil, 0o600))
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, node := range s.nodes {
			if response, err := client.Get("http://" + node.listen + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(s.nodes) {
			s.log("all controllers are ready")
			return true
		}
	}
	s.log("the controllers are not ready")
	return false
}

// node returns the controller with this label.
func (s *site) node(label string) *nodeInfo {
	for _, node := range s.nodes {
		if node.label == label {
			return node
		}
	}
	return nil
}

// otherNode returns a controller other than the one with this label.
func (s *site) otherNode(label string) *nodeInfo {
	for _, node := range s.nodes {
		if node.label != label {
			return node
		}
	}
	return nil
}

// submit uploads a job and submits it at a node, as a user does: repeated for up to 60 s.
func (s *site) submit(node *nodeInfo, job string) bool {
	s.upload([]byte(job))
	for range 15 {
		status, _ := s.user(node, "POST", "/work", []byte(job))
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(2 * time.Second)
	}
	return false
}

func job(id, owner string, pieces int, vcpus, gpus, ramGb, expectS float64, extra ...string) string {
	fields := fmt.Sprintf(`"nameId":%q,"workload":"labelcheck-score","owner":%q,"shape":"sweep","urgency":"standard","pieces":%d,`+
		`"vcpus":%.1f,"accelerators":%.1f,"ramGb":%.1f,"bundle":"img-07","imageGb":1.0,"rigTypes":null,"hall":null,"samePlace":false,`+
		`"apart":false,"loaners":true,"expectS":%.1f,"snapshotS":0.0,"stashS":0.0,"dueS":null`, id, owner, pieces, vcpus, gpus, ramGb, expectS)
	return "{" + strings.Join(append([]string{fields}, extra...), ",") + "}"
}
