package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"thornnotch/internal/constants"
)

// Watch waits until a key with the given prefix changes after fromRevision, or until maxWait
// has passed, which may be at most a minute. It returns all changes after fromRevision, and
// the revision from which the next watch continues. It returns ErrCompacted if fromRevision
// is too old.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision uint64, maxWait time.Duration) (revision uint64, changes []Change, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, nil, fmt.Errorf("watch %s: wait for request budget: %w: %w", prefix, ErrUnavailable, err)
	}
	query := url.Values{
		paramPrefix:  {prefix},
		paramFrom:    {strconv.FormatUint(fromRevision, 10)},
		paramBlockMS: {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	var result watchResponse
	request := request{
		// An open watch does not fail when the service has an outage, so a watch without a
		// timely response must time out and be repeated.
		class: ClassLease, timeout: maxWait + 2*constants.StateTimeout,
		method: http.MethodGet, path: pathWatch + "?" + query.Encode(), result: &result,
	}
	response, err := c.call(ctx, request)
	switch {
	case err != nil:
		return 0, nil, err
	case response.status == http.StatusOK:
		return max(result.Revision, fromRevision), result.Changes, nil
	case response.status == http.StatusGone:
		return 0, nil, ErrCompacted
	}
	return 0, nil, request.unexpectedResponseError(response)
}
