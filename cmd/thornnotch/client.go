package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/node"
	"thornnotch/internal/userapi"
)

// client is what the commands that talk to a running node share.
type client struct {
	Node string `default:"127.0.0.1:8080" env:"THORNNOTCH_NODE" placeholder:"HOST:PORT" help:"The users' address of any controller node (${default})."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// answer is what a node says to a request.
type answer struct {
	status int
	retry  string
	body   []byte
}

func (c client) call(method, path string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), constants.ClientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Node+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("--node %s: %w", c.Node, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("node %s can't be reached: %w", c.Node, errors.Unwrap(err))
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<22))
	if err != nil {
		return answer{}, fmt.Errorf("node %s: %w", c.Node, err)
	}
	return answer{resp.StatusCode, resp.Header.Get("Retry-After"), raw}, nil
}

// problem turns a refusal into one line.
func (a answer) problem(what string) error {
	var p struct {
		Error string `json:"error"`
		Field string `json:"field"`
	}
	_ = json.Unmarshal(a.body, &p)
	if p.Field != "" {
		p.Error = p.Field + ": " + p.Error
	}
	switch a.status {
	case http.StatusNotFound:
		return fmt.Errorf("%s: no such job", what)
	case http.StatusBadRequest:
		return fmt.Errorf("%s: malformed: %s", what, p.Error)
	case http.StatusUnprocessableEntity:
		return fmt.Errorf("%s: can never run: %s", what, p.Error)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%s: not now (%s), try again in %s s", what, p.Error, a.retry)
	}
	return fmt.Errorf("%s: the node answered %d", what, a.status)
}

func (c client) show(a answer) error {
	if c.JSON {
		_, err := os.Stdout.Write(a.body)
		return err
	}
	var st userapi.JobStatus
	if err := json.Unmarshal(a.body, &st); err != nil {
		return fmt.Errorf("unreadable answer: %w", err)
	}
	fmt.Print(st.ID, "  ", st.Status)
	if st.Done != nil && st.Running != nil {
		fmt.Printf("  %d done, %d running", *st.Done, *st.Running)
	}
	fmt.Println()
	return nil
}

type jobCmd struct {
	Submit submitCmd `cmd:"" help:"Submit a job."`
	Get    getCmd    `cmd:"" help:"Show how far a job is."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job."`
}

type submitCmd struct {
	client
	File string `arg:"" help:"The job as JSON; - for standard input."`
}

func (c *submitCmd) Run() error {
	var raw []byte
	var err error
	if c.File == "-" {
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, constants.MaxBodyBytes+1))
	} else {
		raw, err = os.ReadFile(c.File)
	}
	if err != nil {
		return err
	}
	j, err := jobs.DecodeSpec(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	a, err := c.call(http.MethodPost, "/work", raw)
	if err != nil {
		return err
	}
	if a.status != http.StatusCreated && a.status != http.StatusOK {
		return a.problem(j.ID)
	}
	return c.show(a)
}

// about asks a node something of one job, and shows the answer.
func (c client) about(id, method, path string) error {
	a, err := c.call(method, path, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.problem(id)
	}
	return c.show(a)
}

type getCmd struct {
	client
	ID string `arg:"" help:"The job's name."`
}

func (c *getCmd) Run() error { return c.about(c.ID, http.MethodGet, "/work/"+c.ID) }

type cancelCmd struct {
	client
	ID string `arg:"" help:"The job's name."`
}

func (c *cancelCmd) Run() error { return c.about(c.ID, http.MethodPost, "/work/"+c.ID+"/cancel") }

type statusCmd struct {
	client
}

func (c *statusCmd) Run() error {
	a, err := c.call(http.MethodGet, "/cluster", nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.problem("status")
	}
	if c.JSON {
		_, err := os.Stdout.Write(a.body)
		return err
	}
	var o node.Overview
	if err := json.Unmarshal(a.body, &o); err != nil {
		return fmt.Errorf("unreadable answer: %w", err)
	}
	printOverview(os.Stdout, o)
	return nil
}

func printOverview(out io.Writer, o node.Overview) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "NODE\tVERSION\tLEADS\tLEADER SEEN\tTERM\tSTATE REQUESTS LEFT\tSTATE CHANGES LEFT\tCLOUD CALLS LEFT\tSOCKETS\tMEMORY\tTHREADS\tSCARCE")
	for _, n := range o.Nodes {
		if !n.Reachable {
			fmt.Fprintf(w, "%s\t\tnot reachable\t\t\t\t\t\t\t\t\t\n", n.Label)
			continue
		}
		sockets := fmt.Sprint(n.Sockets.Open)
		if n.Sockets.Limit > 0 {
			sockets = fmt.Sprintf("%d of %d", n.Sockets.Open, n.Sockets.Limit)
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%.0f\t%.0f\t%.0f\t%s\t%.0f MB\t%d\t%s\n", n.Label, n.Version, n.Leads, n.Leader, n.Term,
			n.RequestTokens, n.WriteTokens, n.CloudTokens, sockets, n.MemoryMB, n.Threads, strings.Join(n.Scarce, ", "))
	}
	for _, n := range o.Nodes {
		for _, problem := range n.TooSmall {
			fmt.Fprintf(w, "\n%s: settings are too small: %s\n", n.Label, problem)
		}
	}
	for _, n := range o.Nodes {
		if n.Failover != "" {
			fmt.Fprintf(w, "\n%s takes over: %s\n", n.Label, n.Failover)
		}
	}
	c := o.Cluster
	if c == nil {
		fmt.Fprintln(w, "\nno leader answers")
		return
	}
	fmt.Fprintf(w, "\nterm %d, %d machines booting, %d leaving, records written: %v\n", c.Term, c.Booting, c.Leaving, c.State.Healthy)
	fmt.Fprintln(w, "\nTYPE\tZONE\tKIND\tUP\tBUSY\tMACHINES USED\tGPUS USED\tFAULTY")
	for _, m := range c.Machines {
		kind := "ordinary"
		if m.Spot {
			kind = "spot"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%.0f\t%d\n", m.Type, m.Zone, kind, m.Up, m.Busy, m.Used, m.GPUs, m.Faulty)
	}
	fmt.Fprintln(w, "\nCLASS\tTEAM\tJOBS\tOF THEM AFTER OTHERS\tWAITING\tRUNNING\tDONE")
	for _, q := range c.Queue {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", q.Class, q.Team, q.Jobs, q.Held, q.Waiting, q.Running, q.Done)
	}
	fmt.Fprintln(w, "\nTEAM\tOF\tUSED\tHELD\tGUARANTEED\tLIMIT")
	for _, t := range c.Teams {
		// Only what the team has a level of, or uses: platforms without GPUs
		// have no such rows.
		for _, k := range []struct {
			what                   string
			used, held, own, limit float64
		}{{"GPUs", t.GPUs, t.HeldGPUs, t.GPUsOwn, t.GPUsLimit}, {"CPUs", t.CPUs, t.HeldCPUs, t.CPUsOwn, t.CPUsLimit}} {
			if k.used > 0 || k.own > 0 || k.limit > 0 {
				fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%s\n", t.Team, k.what, k.used, k.held, k.own, level(k.limit))
			}
		}
	}
	if len(c.Holds) > 0 {
		fmt.Fprintln(w, "\nHELD ON\tTEAM\tCLASS\tFOR JOB\tCPUS\tGPUS\tLAPSES IN")
		for _, h := range c.Holds {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f\t%.0f\t%v\n", h.Machine, h.Team, h.Class, h.Job, h.CPUs, h.GPUs, time.Duration(h.LapsesIn*float64(time.Second)).Round(time.Second))
		}
	}
}

// level shows a limit, which 0 means there is none of.
func level(v float64) string {
	if v <= 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f", v)
}
