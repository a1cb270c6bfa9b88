// Package autoscaling decides how many machines to rent from the cloud (scale out) and which
// to return (scale in), and contains the client of the cloud's API.
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
	"strings"

	"golang.org/x/time/rate"

	"thornnotch/internal/constants"
	"thornnotch/internal/wirejson"
)

// Errors of calls to the cloud, by which callers distinguish the outcomes.
var (
	// ErrNoCapacity means that the pool has no machines at present.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the call was not carried out and can be retried later: the
	// cloud refused it (503 or 429), or it was not sent because of the rate limit.
	ErrUnavailable = errors.New("cloud unavailable")
	// ErrOutcomeUnknown means that there was no usable response. The call may still take
	// effect, even later.
	ErrOutcomeUnknown = errors.New("outcome of call unknown")
)

// noCapacityMessage is the error of a 503 response that distinguishes ErrNoCapacity from
// ErrUnavailable.
const noCapacityMessage = "no capacity"

// CloudClient is a client of the cloud's API that observes its rate limit.
type CloudClient struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// NewCloudClient returns a client of the cloud's API at addr that connects through dial and
// makes at most rps calls per second.
func NewCloudClient(addr string, rps float64, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     constants.MaxCloudConns,
			MaxIdleConnsPerHost: constants.MaxIdleCloudConns,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
	}
}

// Tokens returns the number of calls that the rate limit allows at this moment.
func (c *CloudClient) Tokens() float64 { return c.limiter.Tokens() }

// SetRate changes the rate limit, for example when the node gains or loses leadership.
func (c *CloudClient) SetRate(rps float64) { c.limiter.SetLimit(rate.Limit(rps)) }

// Catalog reads the machine types and their current prices.
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

// Rent requests machines and returns the names of those rented, which may be fewer.
func (c *CloudClient) Rent(ctx context.Context, request RentRequest) ([]string, error) {
	var response rentResponse
	if err := c.call(ctx, http.MethodPost, "/hosts", request, &response); err != nil {
		return nil, err
	}
	return response.Machines, nil
}

// Return returns machines to the cloud. Once it succeeds, they are terminated and nothing
// runs on them any more.
func (c *CloudClient) Return(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/hosts/return", returnRequest{names}, nil)
}

// List reads one page of the rented machines, starting after the name from. next is the value
// of from for the following page, or empty after the last one. The list lags behind the
// actual machines, and may show an older state than a list that was read earlier.
func (c *CloudClient) List(ctx context.Context, from string) (instances []Instance, next string, err error) {
	query := url.Values{"limit": {strconv.Itoa(constants.InstanceListPageSize)}}
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

// call makes one API call. It sends request as JSON unless it is nil, and decodes the body
// of the response into response unless that is nil.
func (c *CloudClient) call(ctx context.Context, method, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, constants.CloudTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%s %s: %w: rate limit: %w", method, path, ErrUnavailable, err)
	}
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode request for %s: %w", path, err)
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
	if err := wirejson.Decode(raw, response); err != nil {
		return fmt.Errorf("%s %s: %w: malformed response: %w", method, path, ErrOutcomeUnknown, err)
	}
	return nil
}

// send sends a request and reads the whole body of the response.
func (c *CloudClient) send(request *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// statusError returns the error for a response whose status is not 200.
func statusError(status int, body []byte) error {
	var response errorResponse
	_ = wirejson.Decode(body, &response) // a body that is not JSON names no error
	switch {
	case status == http.StatusServiceUnavailable && strings.Contains(response.Error, noCapacityMessage):
		return ErrNoCapacity
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fmt.Errorf("%w (%d)", ErrUnavailable, status)
	}
	return fmt.Errorf("%w: status %d: %.*s", ErrOutcomeUnknown, status, constants.CloudErrorExcerpt, body)
}
