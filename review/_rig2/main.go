// Program _rig2 plays the cases of the second review: it starts the controllers as separate
// processes, with stand-ins for the state service, the cloud, the workers and the users on
// loopback, causes the case's disruption and checks the case's rule.
//
//	rig2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errCantRun marks an outcome in which the case could not be played.
var errCantRun = errors.New("the case could not run")

// caseFunc plays a case. It returns whether the rule was broken, and an error if the case could
// not run.
type caseFunc func(s *site, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	options siteOptions
	play    caseFunc
}{
	"quota":      {quotaSite, playQuota},
	"cancelled":  {cancelledSite, playCancelled},
	"hunt":       {huntSite, playHunt},
	"heavy":      {heavy(huntSite), playHeavyHunt},
	"far":        {far(huntSite), playFarHunt},
	"cancels":    {far(huntSite), playCancelHunt},
	"strict":     {strict(huntSite), playHunt},
	"reboot":     {far(huntSite), playRebootHunt},
	"churn":      {churn(huntSite), playChurnHunt},
	"checkpoint": {checkpointSite, playCheckpoint},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	chosen, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return 2
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSite(chosen.options, record)
	if err != nil {
		record.log("could not run: %v", err)
		return 2
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		s.stop()
		os.Exit(2)
	}()
	// Whatever happens, the script ends within its time.
	time.AfterFunc(115*time.Second, func() {
		record.log("could not run: out of time")
		s.stop()
		record.close()
		os.Exit(2)
	})
	broken, err := chosen.play(s, trouble)
	switch {
	case err != nil:
		record.log("could not run: %v", err)
		return 2
	case broken:
		record.log("RESULT: the rule was broken")
		return 1
	}
	record.log("RESULT: the rule held")
	return 0
}
