package node

import (
	"context"
	"log/slog"
	"sync"
)

// placementLog is a slog.Handler that learns from the nodes' log records how many tasks were
// placed on each machine and which machines were quarantined. It passes all records on to the
// wrapped handler.
type placementLog struct {
	slog.Handler
	counts *placementCounts // shared with the handlers that WithAttrs returns
}

type placementCounts struct {
	mu          sync.Mutex
	tasksPlaced map[string]int
	quarantined map[string]bool
}

func newPlacementLog(next slog.Handler) placementLog {
	return placementLog{next, &placementCounts{tasksPlaced: make(map[string]int), quarantined: make(map[string]bool)}}
}

// Enabled accepts all levels, because placements are logged at the debug level.
func (l placementLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle counts the record and passes it on.
func (l placementLog) Handle(ctx context.Context, record slog.Record) error {
	switch record.Message {
	case "task placed":
		if machine := machineAttr(record); machine != "" {
			l.counts.addTask(machine)
		}
	case "machine quarantined":
		if machine := machineAttr(record); machine != "" {
			l.counts.addQuarantined(machine)
		}
	}
	return l.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that shares the counts.
func (l placementLog) WithAttrs(attrs []slog.Attr) slog.Handler {
	l.Handler = l.Handler.WithAttrs(attrs)
	return l
}

// machineAttr returns the record's machine attribute, or an empty string.
func machineAttr(record slog.Record) (machine string) {
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == "machine" {
			machine = attr.Value.String()
		}
		return true
	})
	return machine
}

func (c *placementCounts) addTask(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasksPlaced[machine]++
}

func (c *placementCounts) addQuarantined(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantined[machine] = true
}

// tasksPlacedOn returns the number of tasks placed on a machine.
func (l placementLog) tasksPlacedOn(machine string) int {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	return l.counts.tasksPlaced[machine]
}

// wasQuarantined reports whether a machine was quarantined.
func (l placementLog) wasQuarantined(machine string) bool {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	return l.counts.quarantined[machine]
}
