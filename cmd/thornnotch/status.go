package main

import (
	"net/http"
	"os"

	"thornnotch/internal/node"
)

// statusCmd shows the status of the cluster.
type statusCmd struct {
	client
}

// Run executes the command.
func (c *statusCmd) Run() error {
	body, err := c.request("status", http.MethodGet, "/cluster", nil, http.StatusOK)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(body)
	}
	overview, err := decodeResponse[node.Overview](body)
	if err != nil {
		return err
	}
	return printOverview(os.Stdout, overview)
}
