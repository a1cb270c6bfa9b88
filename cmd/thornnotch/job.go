package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/userapi"
)

// jobsPath is the path of the HTTP API for jobs.
const jobsPath = "/work"

// jobCmd groups the commands for jobs.
type jobCmd struct {
	Submit submitCmd `cmd:"" help:"Submit a job."`
	Get    getCmd    `cmd:"" help:"Show a job's status."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job."`
}

// submitCmd submits a job.
type submitCmd struct {
	client
	File string `arg:"" help:"File with the job as JSON; - for standard input."`
}

// Run executes the command.
func (c *submitCmd) Run() error {
	raw, err := c.read()
	if err != nil {
		return err
	}
	spec, err := jobs.DecodeSpec(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	body, err := c.request(spec.ID, http.MethodPost, jobsPath, raw, http.StatusCreated, http.StatusOK)
	if err != nil {
		return err
	}
	return c.printJob(body)
}

// read reads the job's JSON from the file or from standard input.
func (c *submitCmd) read() ([]byte, error) {
	if c.File == "-" {
		// Read one byte more than a node accepts, so that the node rejects a longer body.
		return io.ReadAll(io.LimitReader(os.Stdin, constants.MaxBodyBytes+1))
	}
	return os.ReadFile(c.File)
}

// getCmd shows a job's status.
type getCmd struct {
	client
	ID string `arg:"" help:"ID of the job."`
}

// Run executes the command.
func (c *getCmd) Run() error { return c.requestJob(c.ID, http.MethodGet, jobsPath+"/"+c.ID) }

// cancelCmd cancels a job.
type cancelCmd struct {
	client
	ID string `arg:"" help:"ID of the job."`
}

// Run executes the command.
func (c *cancelCmd) Run() error {
	return c.requestJob(c.ID, http.MethodPost, jobsPath+"/"+c.ID+"/cancel")
}

// requestJob sends a request for one job and prints the job's status from the response.
func (c client) requestJob(id, method, path string) error {
	body, err := c.request(id, method, path, nil, http.StatusOK)
	if err != nil {
		return err
	}
	return c.printJob(body)
}

// printJob prints the job's status in a response body.
func (c client) printJob(body []byte) error {
	if c.JSON {
		return printJSON(body)
	}
	job, err := decodeResponse[userapi.JobStatus](body)
	if err != nil {
		return err
	}
	fmt.Print(job.ID, "  ", job.Status)
	if job.Done != nil && job.Running != nil {
		fmt.Printf("  %d done, %d running", *job.Done, *job.Running)
	}
	fmt.Println()
	return nil
}
