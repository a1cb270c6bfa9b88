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

// Watch waits until a key below prefix has changed after the revision from, or until block
// has passed, a minute at most. The changes are all since from; the next watch goes on from
// the revision that is returned. ErrCompacted means that from is too old.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (revision uint64, changes []Change, err error) {
	if err := c.Budget.Take(ctx, ClassLease, 0); err != nil {
		return 0, nil, fmt.Errorf("watch %s: %w: %w", prefix, ErrUnavailable, err)
	}
	query := url.Values{
		paramPrefix:  {prefix},
		paramFrom:    {strconv.FormatUint(from, 10)},
		paramBlockMS: {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	var result watchAnswer
	request := request{
		// An open watch stays open through an outage, so a watch that is late is given up
		// and asked again.
		class: ClassLease, timeout: block + 2*constants.StateTimeout,
		method: http.MethodGet, path: pathWatch + "?" + query.Encode(), result: &result,
	}
	answer, err := c.call(ctx, request)
	switch {
	case err != nil:
		return 0, nil, err
	case answer.status == http.StatusOK:
		return max(result.Revision, from), result.Changes, nil
	case answer.status == http.StatusGone:
		return 0, nil, ErrCompacted
	}
	return 0, nil, request.unexpected(answer)
}
