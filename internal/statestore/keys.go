package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"thornnotch/internal/constants"
)

// Get reads one key; found is false if it does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (row KeyValue, found bool, err error) {
	if err := c.Budget.Take(ctx, class, 0); err != nil {
		return KeyValue{}, false, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	request := request{
		class: class, timeout: constants.StateTimeout,
		method: http.MethodGet, path: pathKeys + "/" + key, result: &row,
	}
	answer, err := c.call(ctx, request)
	switch {
	case err != nil:
		return KeyValue{}, false, err
	case answer.status == http.StatusOK:
		return row, true, nil
	case answer.status == http.StatusNotFound:
		return KeyValue{}, false, nil
	}
	return KeyValue{}, false, request.unexpected(answer)
}

// List reads all keys below prefix, in pages. The revision is that of the first page, so a
// watch from it tells of every change made while the pages were read.
func (c *Client) List(ctx context.Context, class Class, prefix string) (rows []KeyValue, revision uint64, err error) {
	after := ""
	for {
		page, err := c.listPage(ctx, class, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		rows = append(rows, page.Rows...)
		if !page.HasNext || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// listPage reads one page of the keys below prefix, of those behind the key after.
func (c *Client) listPage(ctx context.Context, class Class, prefix, after string) (listPage, error) {
	if err := c.Budget.Take(ctx, class, 0); err != nil {
		return listPage{}, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	query := url.Values{paramPrefix: {prefix}, paramLimit: {strconv.Itoa(constants.ListPage)}}
	if after != "" {
		query.Set(paramFrom, after)
	}
	var page listPage
	request := request{
		class: class, timeout: 2 * constants.StateTimeout, // a page is large
		method: http.MethodGet, path: pathKeys + "?" + query.Encode(), result: &page,
	}
	answer, err := c.call(ctx, request)
	switch {
	case err != nil:
		return listPage{}, err
	case answer.status != http.StatusOK:
		return listPage{}, request.unexpected(answer)
	}
	return page, nil
}
