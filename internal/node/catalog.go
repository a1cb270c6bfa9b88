package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// catalogKey keeps the last catalog, so that a node that starts while the cloud is down
// can still tell what can run.
const catalogKey = "site/catalog"

// catalogCache keeps the cloud's catalog at hand: from the cloud, or as another node
// has recorded it. Only the leader asks the cloud again for changed prices.
type catalogCache struct {
	cloud *autoscaling.CloudClient
	store *statestore.Client
	leads func() bool
	log   *slog.Logger

	current atomic.Pointer[autoscaling.Catalog] // nil until one is known
}

// load returns the catalog; nil while none is known.
func (c *catalogCache) load() *autoscaling.Catalog { return c.current.Load() }

// run refreshes the catalog until ctx ends.
func (c *catalogCache) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.refresh(ctx)
		wait := constants.CatalogInterval
		if c.load() == nil {
			wait = constants.CatalogRetry
		}
		pause(ctx, wait)
	}
	return ctx.Err()
}

// refresh reads the recorded catalog if none is known, and asks the cloud if there is
// still none or this node leads.
func (c *catalogCache) refresh(ctx context.Context) {
	if c.load() == nil {
		c.restore(ctx)
	}
	if c.load() != nil && !c.leads() {
		return
	}
	catalog, err := c.cloud.Catalog(ctx)
	if err != nil {
		c.log.Debug("the cloud's catalog can't be read", "error", err)
		return
	}
	c.current.Store(catalog)
	if err := c.record(ctx, catalog); err != nil {
		c.log.Debug("catalog not recorded", "error", err)
	}
}

// restore takes up the recorded catalog, if there is one. If the state service does not
// answer there is none for now: the cloud is asked next.
func (c *catalogCache) restore(ctx context.Context) {
	row, found, err := c.store.Get(ctx, statestore.ClassPoll, catalogKey)
	if err != nil || !found {
		return
	}
	catalog, err := decodeCatalog(row.Value)
	if err != nil {
		c.log.Error("recorded catalog is unreadable", "key", catalogKey, "error", err)
		return
	}
	c.current.Store(catalog)
}

func decodeCatalog(raw []byte) (*autoscaling.Catalog, error) {
	var catalog autoscaling.Catalog
	if err := json.Unmarshal(raw, &catalog); err != nil {
		return nil, fmt.Errorf("decode the catalog: %w", err)
	}
	if err := catalog.Validate(); err != nil {
		return nil, err
	}
	return &catalog, nil
}

// record has the catalog stored for nodes that start while the cloud is down.
func (c *catalogCache) record(ctx context.Context, catalog *autoscaling.Catalog) error {
	raw, err := json.Marshal(catalog)
	if err != nil {
		return fmt.Errorf("encode the catalog: %w", err)
	}
	if _, err := c.store.Txn(ctx, statestore.ClassOther, nil, []statestore.Write{{Put: catalogKey, Value: raw}}); err != nil {
		return fmt.Errorf("write %s: %w", catalogKey, err)
	}
	return nil
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
