package autoscaling

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"thornnotch/internal/wirejson/wirejsontest"
)

// TestResponseErrors checks that each kind of response from the cloud becomes the error that
// callers act on, and that the error names the call.
func TestResponseErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"rented", http.StatusOK, `{"rigs":["m-1"]}`, nil},
		{"not JSON", http.StatusOK, "<html>", ErrOutcomeUnknown},
		{"no capacity", http.StatusServiceUnavailable, `{"error":"no capacity"}`, ErrNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, "later", ErrUnavailable},
		{"unavailable, with an unknown field", http.StatusServiceUnavailable, `{"error":"trouble","last":"no capacity"}`, ErrUnavailable},
		{"no capacity, with unknown fields", http.StatusServiceUnavailable, `{"Error":"trouble","error":"no capacity","ERROR":1}`, ErrNoCapacity},
		{"too many calls", http.StatusTooManyRequests, "", ErrUnavailable},
		{"failed", http.StatusInternalServerError, "oops", ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body)) // only the client is tested
			}))
			defer cloud.Close()
			client := NewCloudClient(cloud.Listener.Addr().String(), 10, (&net.Dialer{}).DialContext)
			names, err := client.Rent(context.Background(), RentRequest{ID: "r-1", MachineType: "g4", Count: 1})
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if c.want == nil && (len(names) != 1 || names[0] != "m-1") {
				t.Errorf("rented %v", names)
			}
			if c.want != nil && !strings.Contains(err.Error(), "POST /hosts") {
				t.Errorf("error %q does not name the call", err)
			}
		})
	}
}

// TestConnectionFailureIsOutcomeUnknown checks that a call that failed without a response is
// treated as one that may have taken effect.
func TestConnectionFailureIsOutcomeUnknown(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") }
	client := NewCloudClient("cloud.example", 10, refuse)
	if _, _, err := client.List(context.Background(), ""); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want %v", err, ErrOutcomeUnknown)
	}
}

// TestCloudResponsesIgnoreFieldsOfOtherCase guards against machines, zones or prices being taken from
// unknown fields of the cloud's responses, such as "Hall" beside "hall".
func TestCloudResponsesIgnoreFieldsOfOtherCase(t *testing.T) {
	var body []byte
	cloud := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body) // only the client is tested
	}))
	defer cloud.Close()
	client := NewCloudClient(cloud.Listener.Addr().String(), 100, new(net.Dialer).DialContext)
	for _, test := range []struct {
		name, body string
		call       func() (any, error)
	}{
		{
			"catalog",
			`{"rigTypes":[{"sku":"g8","vcpus":96,"accelerators":8,"ramGb":768,"cacheGb":200,"pullGbPerS":1.5,"rate":12.5,"marketPrice":4.5,"readyS":45,"halls":["a","b"]}]}`,
			func() (any, error) { return client.Catalog(t.Context()) },
		},
		{
			"rent", `{"rigs":["m-000231"]}`,
			func() (any, error) { return client.Rent(t.Context(), RentRequest{ID: "r-1", Count: 1}) },
		},
		{
			"list",
			`{"rigs":[{"nameId":"m-000231","endpoint":"10.1.0.232:9000","rigType":"g8","hall":"a","loaners":true,"status":"running","heldS":61.5}],"hasNext":true}`,
			func() (any, error) {
				instances, next, err := client.List(t.Context(), "")
				return []any{instances, next}, err
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			wirejsontest.CheckIgnored(t, test.body, func(raw []byte) (any, error) {
				body = raw
				return test.call()
			})
		})
	}
}
