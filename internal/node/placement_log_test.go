package node

import (
	"context"
	"log/slog"
	"sync"
)

// placementLog counts, from the nodes' logs, the tasks given to each machine. It is a
// slog.Handler that passes all records on.
type placementLog struct {
	slog.Handler
	counts *placementCounts // shared by all that WithAttrs returns
}

type placementCounts struct {
	mu          sync.Mutex
	tasksGiven  map[string]int
	quarantined map[string]bool
}

func newPlacementLog(next slog.Handler) placementLog {
	return placementLog{next, &placementCounts{tasksGiven: make(map[string]int), quarantined: make(map[string]bool)}}
}

// Enabled tells that all levels are wanted: placements are logged at the lowest.
func (l placementLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle counts a record.
func (l placementLog) Handle(ctx context.Context, record slog.Record) error {
	switch record.Message {
	case "placed":
		if machine := machineIn(record); machine != "" {
			l.counts.add(machine)
		}
	case "machine quarantined":
		if machine := machineIn(record); machine != "" {
			l.counts.quarantine(machine)
		}
	}
	return l.Handler.Handle(ctx, record)
}

// WithAttrs keeps counting in the same place.
func (l placementLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	l.Handler = l.Handler.WithAttrs(attrs)
	return l
}

// machineIn is the machine that a record names.
func machineIn(record slog.Record) (machine string) {
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == "machine" {
			machine = attr.Value.String()
		}
		return true
	})
	return machine
}

func (c *placementCounts) add(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasksGiven[machine]++
}

func (c *placementCounts) quarantine(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantined[machine] = true
}

// tasksGivenTo is how many tasks a machine was given.
func (l placementLog) tasksGivenTo(machine string) int {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	return l.counts.tasksGiven[machine]
}

// hasQuarantined tells whether a machine was taken for faulty.
func (l placementLog) hasQuarantined(machine string) bool {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	return l.counts.quarantined[machine]
}
