package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"thornnotch/internal/constants"
)

// Get returns the value and revision of a key; found is false if the key does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (row KeyValue, found bool, err error) {
	if err := c.Budget.Take(ctx, class, 0); err != nil {
		return KeyValue{}, false, fmt.Errorf("get %s: wait for request budget: %w: %w", key, ErrUnavailable, err)
	}
	request := request{
		class: class, timeout: constants.StateTimeout,
		method: http.MethodGet, path: pathKeys + "/" + key, result: &row,
	}
	response, err := c.call(ctx, request)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case response.status == http.StatusOK:
		return row, true, nil
	case response.status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, request.unexpectedResponseError(response)
}

// List returns all keys with the given prefix, reading them in pages. The revision is that of
// the first page, so a watch from it reports every change made while the pages were read.
func (c *Client) List(ctx context.Context, class Class, prefix string) (rows []KeyValue, revision uint64, err error) {
	afterKey := ""
	for {
		page, err := c.listPage(ctx, class, prefix, afterKey)
		if err != nil {
			return nil, 0, err
		}
		if afterKey == "" {
			revision = page.Revision
		}
		rows = append(rows, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		afterKey = page.Rows[len(page.Rows)-1].Key
	}
}

// listPage reads one page of the keys with the given prefix that sort after afterKey.
func (c *Client) listPage(ctx context.Context, class Class, prefix, afterKey string) (listPage, error) {
	if err := c.Budget.Take(ctx, class, 0); err != nil {
		return listPage{}, fmt.Errorf("list %s: wait for request budget: %w: %w", prefix, ErrUnavailable, err)
	}
	query := url.Values{paramPrefix: {prefix}, paramLimit: {strconv.Itoa(constants.StateListPageSize)}}
	if afterKey != "" {
		query.Set(paramFrom, afterKey)
	}
	var page listPage
	request := request{
		class: class, timeout: 2 * constants.StateTimeout, // pages are large
		method: http.MethodGet, path: pathKeys + "?" + query.Encode(), result: &page,
	}
	response, err := c.call(ctx, request)
	switch {
	case err != nil:
		return listPage{}, err
	case response.status != http.StatusOK:
		return listPage{}, request.unexpectedResponseError(response)
	}
	return page, nil
}
