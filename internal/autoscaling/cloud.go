// Package autoscaling deals with the cloud: the catalog, renting and returning
// machines, and the list of what is rented.
package autoscaling

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// MachineType is one kind of machine in the catalog.
type MachineType struct {
	Name          string   `json:"sku"`
	CPUs          float64  `json:"vcpus"`
	GPUs          float64  `json:"accelerators"`
	MemoryGB      float64  `json:"ramGb"`
	CacheGB       float64  `json:"cacheGb"`
	FetchGBPerS   float64  `json:"pullGbPerS"`
	OnDemandPrice float64  `json:"rate"`
	SpotPrice     float64  `json:"marketPrice"`
	BootS         float64  `json:"readyS"`
	Zones         []string `json:"halls"`
}

// Catalog lists what can be rented.
type Catalog struct {
	MachineTypes []MachineType `json:"rigTypes"`
}

// Type finds a type by name.
func (c *Catalog) Type(sku string) (MachineType, bool) {
	if c != nil {
		for _, t := range c.MachineTypes {
			if t.Name == sku {
				return t, true
			}
		}
	}
	return MachineType{}, false
}

// JobMachineTypes is the catalog as intake needs it.
func (c *Catalog) JobMachineTypes() []jobs.MachineType {
	if c == nil {
		return nil
	}
	out := make([]jobs.MachineType, 0, len(c.MachineTypes))
	for _, t := range c.MachineTypes {
		out = append(out, jobs.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, Zones: t.Zones})
	}
	return out
}

// Validate reports what is impossible in a catalog.
func (c *Catalog) Validate() error {
	if len(c.MachineTypes) == 0 {
		return errors.New("catalog: names no machine type")
	}
	for _, t := range c.MachineTypes {
		if t.Name == "" || !(t.CPUs > 0) || t.GPUs < 0 || !(t.MemoryGB > 0) || len(t.Zones) == 0 {
			return fmt.Errorf("catalog: impossible machine type %q", t.Name)
		}
	}
	return nil
}

// Instance is a rented machine as the cloud lists it.
type Instance struct {
	Name        string  `json:"nameId"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"rigType"`
	Zone        string  `json:"hall"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"heldS"`
}

// Errors that callers tell apart.
var (
	// ErrNoCapacity: nothing of this type, zone and kind can be had now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRejected: the call was not carried out; try later.
	ErrRejected = errors.New("cloud refused")
	// ErrOutcomeUnknown: no usable answer; the call may take effect, even late.
	ErrOutcomeUnknown = errors.New("cloud gave no answer")
)

// CloudClient calls the cloud's interface within its rate.
type CloudClient struct {
	base   string
	http   *http.Client
	tokens *rate.Limiter
}

// NewCloudClient makes a client of the cloud at addr, reached through dial, for rps
// calls a second.
func NewCloudClient(addr string, rps float64, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CloudClient {
	return &CloudClient{
		base: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: constants.CloudConns, MaxIdleConnsPerHost: constants.CloudIdleConns, DisableCompression: true,
		}},
		tokens: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

// Tokens tells how many calls may be made at once now.
func (c *CloudClient) Tokens() float64 { return c.tokens.Tokens() }

// SetRate changes the allowed rate, as when the lead is taken or lost.
func (c *CloudClient) SetRate(rps float64) { c.tokens.SetLimit(rate.Limit(rps)) }

func (c *CloudClient) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, constants.CloudTimeout)
	defer cancel()
	if err := c.tokens.Wait(ctx); err != nil {
		return fmt.Errorf("%s %s: %w: no token: %w", method, path, ErrRejected, err)
	}
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(raw, out); err != nil {
			return fmt.Errorf("%s %s: %w: bad answer: %w", method, path, ErrOutcomeUnknown, err)
		}
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable && bytes.Contains(raw, []byte("no capacity")):
		return ErrNoCapacity
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("%s %s: %w (%d)", method, path, ErrRejected, resp.StatusCode)
	}
	return fmt.Errorf("%s %s: %w: status %d: %.120s", method, path, ErrOutcomeUnknown, resp.StatusCode, raw)
}

// Catalog reads the machine types and the current prices.
func (c *CloudClient) Catalog(ctx context.Context) (*Catalog, error) {
	var cat Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, &cat); err != nil {
		return nil, err
	}
	if err := cat.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return &cat, nil
}

// RentRequest asks for machines. ID must never have been used for another one.
type RentRequest struct {
	ID          string `json:"hire"`
	MachineType string `json:"rigType"`
	Zone        string `json:"hall"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// Rent asks for machines and returns the names of those rented.
func (c *CloudClient) Rent(ctx context.Context, r RentRequest) ([]string, error) {
	var out struct {
		Machines []string `json:"rigs"`
	}
	if err := c.call(ctx, http.MethodPost, "/hosts", r, &out); err != nil {
		return nil, err
	}
	return out.Machines, nil
}

// Return gives machines back. Once it succeeds, they and all that was on
// them are gone.
func (c *CloudClient) Return(ctx context.Context, names []string) error {
	in := struct {
		Machines []string `json:"rigs"`
	}{names}
	return c.call(ctx, http.MethodPost, "/hosts/return", in, nil)
}

// List reads one page of the rented machines, those after from by name; next is
// where the following page begins, empty after the last one. The list lags, and may
// be older than the last.
func (c *CloudClient) List(ctx context.Context, from string) (hosts []Instance, next string, err error) {
	q := url.Values{"limit": {strconv.Itoa(constants.InstanceListPage)}}
	if from != "" {
		q.Set("from", from)
	}
	var page struct {
		Machines []Instance `json:"rigs"`
		HasNext  bool       `json:"hasNext"`
	}
	if err := c.call(ctx, http.MethodGet, "/hosts?"+q.Encode(), nil, &page); err != nil {
		return nil, "", err
	}
	if page.HasNext && len(page.Machines) > 0 {
		next = page.Machines[len(page.Machines)-1].Name
	}
	return page.Machines, next, nil
}
