package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// catalogKey is the key that holds the latest catalog, so that a node that starts during a
// cloud outage still knows the machine types.
const catalogKey = "site/catalog"

// catalogCache caches the cloud's catalog, read either from the cloud or from the copy that
// another node stored in the state service. Only the leader polls the cloud for price changes.
type catalogCache struct {
	cloud *autoscaling.CloudClient
	store *statestore.Client
	leads func() bool
	log   *slog.Logger

	current atomic.Pointer[autoscaling.Catalog] // nil until a catalog has been read
}

// load returns the catalog, or nil if none has been read yet.
func (c *catalogCache) load() *autoscaling.Catalog { return c.current.Load() }

// run refreshes the catalog periodically until ctx is done.
func (c *catalogCache) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.refresh(ctx)
		wait := constants.CatalogRefreshInterval
		if c.load() == nil {
			wait = constants.CatalogRetryDelay
		}
		backoff.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// refresh reads the stored catalog if none is cached. It queries the cloud if there is still
// none or if this node leads.
func (c *catalogCache) refresh(ctx context.Context) {
	if c.load() == nil {
		c.restore(ctx)
	}
	if c.load() != nil && !c.leads() {
		return
	}
	catalog, err := c.cloud.Catalog(ctx)
	if err != nil {
		c.log.Debug("cloud catalog request failed", "error", err)
		return
	}
	c.current.Store(catalog)
	if err := c.persist(ctx, catalog); err != nil {
		c.log.Debug("catalog write failed", "error", err)
	}
}

// restore loads the stored catalog, if there is one. A state service error is ignored because
// refresh queries the cloud next.
func (c *catalogCache) restore(ctx context.Context) {
	row, found, err := c.store.Get(ctx, statestore.ClassStatusQuery, catalogKey)
	if err != nil || !found {
		return
	}
	catalog, err := decodeCatalog(row.Value)
	if err != nil {
		c.log.Error("stored catalog is invalid", "key", catalogKey, "error", err)
		return
	}
	c.current.Store(catalog)
}

func decodeCatalog(raw []byte) (*autoscaling.Catalog, error) {
	var catalog autoscaling.Catalog
	if err := wirejson.Decode(raw, &catalog); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	if err := catalog.Validate(); err != nil {
		return nil, err
	}
	return &catalog, nil
}

// persist stores the catalog for nodes that start during a cloud outage.
func (c *catalogCache) persist(ctx context.Context, catalog *autoscaling.Catalog) error {
	raw, err := json.Marshal(catalog)
	if err != nil {
		return fmt.Errorf("encode catalog: %w", err)
	}
	if _, err := c.store.Txn(ctx, statestore.ClassOther, nil, []statestore.Write{{Put: catalogKey, Value: raw}}); err != nil {
		return fmt.Errorf("write catalog to %s: %w", catalogKey, err)
	}
	return nil
}
