package leader

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/statestore"
)

// WorkCounts are running sums of what the leader's loop does.
type WorkCounts struct {
	Passes              uint64  `json:"passes"`
	PassSeconds         float64 `json:"passS"` // time spent in them
	Views               uint64  `json:"views"` // of machines, made anew for them
	Heartbeats          uint64  `json:"reports"`
	DuplicateHeartbeats uint64  `json:"lateCopies"` // late copies of heartbeats
	RepliedCommands     uint64  `json:"orders"`     // commands sent in replies
	DirectCommands      uint64  `json:"commands"`   // sent directly
	// PostponedCommands are direct commands that had to wait for others.
	PostponedCommands uint64  `json:"postponed"`
	Commits           uint64  `json:"commits"`
	CommitSeconds     float64 `json:"commitS"`
	Events            uint64  `json:"calls"` // events taken by the loop
	// MetadataBytes are the records of holds and images, Log all that the log has taken.
	MetadataBytes uint64    `json:"hintBytes"`
	Log           wal.Stats `json:"log"`
	BusySeconds   float64   `json:"busyS"` // time the loop was at work
}

// loadLog logs once in a while how much the loop had to do since last.
type loadLog struct {
	// usage tells what this node's calls of a class have drawn; may be nil.
	usage func(statestore.Class) statestore.Usage

	// loggedAt is when it was logged last, counts and drawn are as they were then.
	loggedAt time.Time
	counts   WorkCounts
	drawn    map[statestore.Class]statestore.Usage
}

// loadGauges are the sizes that are logged beside the rates.
type loadGauges struct {
	jobs, machines int
	// events wait for the loop.
	events int
	// backlog is how many log entries a failover would read.
	backlog int
}

func (g *loadLog) due(now time.Time) bool { return now.Sub(g.loggedAt) >= constants.LoadLogInterval }

// log logs what has come together since last. The first time there is nothing to compare
// with, and it only notes the counts.
func (g *loadLog) log(logger *slog.Logger, current WorkCounts, gauges loadGauges, now time.Time) {
	first, period := g.loggedAt.IsZero(), now.Sub(g.loggedAt).Seconds()
	if !first {
		logger.Info("load", g.attributes(current, gauges, period)...)
	}
	if usage := g.takeUsage(period); usage != nil && !first {
		logger.Debug("state service load", usage...)
	}
	g.loggedAt, g.counts = now, current
}

// attributes are the load line's rates over a period in seconds.
func (g *loadLog) attributes(current WorkCounts, gauges loadGauges, period float64) []any {
	was := g.counts
	return []any{
		"jobs", gauges.jobs, "machines", gauges.machines,
		"heartbeats_per_s", perSecond(current.Heartbeats, was.Heartbeats, period),
		"replied_commands_per_s", perSecond(current.RepliedCommands, was.RepliedCommands, period),
		"direct_commands_per_s", perSecond(current.DirectCommands, was.DirectCommands, period),
		"passes_per_s", perSecond(current.Passes, was.Passes, period),
		"pass_share", share(current.PassSeconds, was.PassSeconds, period),
		"commits_per_s", perSecond(current.Commits, was.Commits, period),
		"commit_share", share(current.CommitSeconds, was.CommitSeconds, period),
		"busy_share", share(current.BusySeconds, was.BusySeconds, period),
		"entries_kb_per_s", kilobytesPerSecond(current.Log.EntryBytes, was.Log.EntryBytes, period),
		"metadata_kb_per_s", kilobytesPerSecond(current.MetadataBytes, was.MetadataBytes, period),
		"checkpoint_kb_per_s", kilobytesPerSecond(current.Log.PartBytes, was.Log.PartBytes, period),
		"queued_events", gauges.events, "log_backlog", gauges.backlog,
	}
}

// takeUsage is what calls to the state service have drawn since last, by class; nil if that
// is not known.
func (g *loadLog) takeUsage(period float64) (attributes []any) {
	if g.usage == nil {
		return nil
	}
	drawn := make(map[statestore.Class]statestore.Usage)
	for _, class := range statestore.Classes {
		current, was := g.usage(class), g.drawn[class]
		drawn[class] = current
		attributes = append(attributes, class.String(), fmt.Sprintf("%.1f requests/s, %.1f writes/s, %.2f waiting",
			perSecond(current.Requests, was.Requests, period), perSecond(current.Writes, was.Writes, period), share(current.WaitSeconds, was.WaitSeconds, period)))
	}
	g.drawn = drawn
	return attributes
}

// perSecond is the rate of a running sum, to a tenth.
func perSecond(current, was uint64, period float64) float64 {
	return math.Round(float64(current-was)/period*10) / 10
}

// kilobytesPerSecond is the rate of a running sum of bytes, to a tenth.
func kilobytesPerSecond(current, was uint64, period float64) float64 {
	return math.Round(float64(current-was)/period/102.4) / 10
}

// share is the part of the period that a running sum of seconds took, to a thousandth.
func share(current, was, period float64) float64 {
	return math.Round((current-was)/period*1000) / 1000
}

// logLoad logs once in a while how much the loop had to do since last.
func (l *Leader) logLoad(now time.Time) {
	if !l.load.due(now) {
		return
	}
	l.counts.Log = l.wal.Stats()
	gauges := loadGauges{jobs: l.jobs.len(), machines: l.fleet.len(), events: len(l.events), backlog: l.wal.Backlog()}
	l.load.log(l.deps.Log, l.work(), gauges, now)
}

// work is what the loop has done so far.
func (l *Leader) work() WorkCounts {
	work := l.counts
	work.MetadataBytes = l.metadata.recordedBytes()
	return work
}
