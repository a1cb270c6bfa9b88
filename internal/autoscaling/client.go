// Package autoscaling decides how many machines to rent and which to return (scale out
// and scale in), and is the client of the cloud that rents them out.
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
)

// Outcomes of a call that callers tell apart.
var (
	// ErrNoCapacity: nothing of this type, zone and kind can be had now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRejected: the call was not carried out; try later.
	ErrRejected = errors.New("cloud refused")
	// ErrOutcomeUnknown: no usable answer; the call may take effect, even late.
	ErrOutcomeUnknown = errors.New("cloud gave no answer")
)

// noCapacity is what the cloud's answer says, beside its status, where ErrNoCapacity is
// meant.
const noCapacity = "no capacity"

// CloudClient calls the cloud's interface within its rate.
type CloudClient struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// NewCloudClient makes a client of the cloud at addr, reached through dial, for rps calls
// per second.
func NewCloudClient(addr string, rps float64, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     constants.CloudConns,
			MaxIdleConnsPerHost: constants.CloudIdleConns,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

// Tokens tells how many calls may be made at once now.
func (c *CloudClient) Tokens() float64 { return c.limiter.Tokens() }

// SetRate changes the allowed rate, as when leadership is won or lost.
func (c *CloudClient) SetRate(rps float64) { c.limiter.SetLimit(rate.Limit(rps)) }

// Catalog reads the machine types and the current prices.
func (c *CloudClient) Catalog(ctx context.Context) (*Catalog, error) {
	var catalog Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog); err != nil {
		return nil, err
	}
	if err := catalog.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return &catalog, nil
}

// Rent asks for machines and returns the names of those rented.
func (c *CloudClient) Rent(ctx context.Context, request RentRequest) ([]string, error) {
	var response rentResponse
	if err := c.call(ctx, http.MethodPost, "/hosts", request, &response); err != nil {
		return nil, err
	}
	return response.Machines, nil
}

// Return gives machines back. Once it succeeds, they and all that was on them are gone.
func (c *CloudClient) Return(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/hosts/return", returnRequest{names}, nil)
}

// List reads one page of the rented machines, those after from by name; next is where the
// following page begins, empty after the last one. The list lags, and may be older than
// the last one read.
func (c *CloudClient) List(ctx context.Context, from string) (instances []Instance, next string, err error) {
	query := url.Values{"limit": {strconv.Itoa(constants.InstanceListPage)}}
	if from != "" {
		query.Set("from", from)
	}
	var page listResponse
	if err := c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
		return nil, "", err
	}
	if page.HasNext && len(page.Machines) > 0 {
		next = page.Machines[len(page.Machines)-1].Name
	}
	return page.Machines, next, nil
}

// call makes one call. request is sent as JSON unless nil, and the answer is read into
// response unless nil.
func (c *CloudClient) call(ctx context.Context, method, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, constants.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%s %s: %w: no token: %w", method, path, ErrRejected, err)
	}
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(raw)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	status, raw, err := c.send(httpRequest)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s %s: %w", method, path, statusError(status, raw))
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return fmt.Errorf("%s %s: %w: bad answer: %w", method, path, ErrOutcomeUnknown, err)
	}
	return nil
}

// send sends a request and reads the whole answer.
func (c *CloudClient) send(request *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // what matters has been read
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// statusError is the error that a status other than OK stands for.
func statusError(status int, body []byte) error {
	switch {
	case status == http.StatusServiceUnavailable && bytes.Contains(body, []byte(noCapacity)):
		return ErrNoCapacity
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fmt.Errorf("%w (%d)", ErrRejected, status)
	}
	return fmt.Errorf("%w: status %d: %.*s", ErrOutcomeUnknown, status, constants.CloudErrorExcerpt, body)
}
