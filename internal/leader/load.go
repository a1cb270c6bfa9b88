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

// WorkCounts holds running totals of the work done by the leader's loop.
type WorkCounts struct {
	Passes              uint64  `json:"passes"`
	PassSeconds         float64 `json:"passS"` // time spent in scheduling passes
	MachineViews        uint64  `json:"views"` // machine views rebuilt for passes
	Heartbeats          uint64  `json:"reports"`
	DuplicateHeartbeats uint64  `json:"lateCopies"` // delayed duplicates of heartbeats
	RepliedCommands     uint64  `json:"orders"`     // sent in heartbeat replies
	DirectCommands      uint64  `json:"commands"`   // sent directly to workers
	// PostponedCommands counts direct commands that had to wait because too many others were
	// in flight.
	PostponedCommands uint64  `json:"postponed"`
	Commits           uint64  `json:"commits"`
	CommitSeconds     float64 `json:"commitS"`
	Events            uint64  `json:"calls"` // events received by the loop
	// MetadataBytes is the size of the logged reservations and images; Log counts everything
	// written to the log.
	MetadataBytes uint64    `json:"hintBytes"`
	Log           wal.Stats `json:"log"`
	BusySeconds   float64   `json:"busyS"` // time the loop spent processing
}

// loadLog periodically logs the leader's load.
type loadLog struct {
	// usage returns how much of the state service's budget this node's calls of a class have
	// used. It may be nil.
	usage func(statestore.Class) statestore.Usage

	// loggedAt is the time of the last log line, and lastCounts and usageTotals are the totals
	// at that time.
	loggedAt    time.Time
	lastCounts  WorkCounts
	usageTotals map[statestore.Class]statestore.Usage
}

// loadGauges holds the current sizes that are logged along with the rates.
type loadGauges struct {
	jobs, machines int
	// events is the number of events queued for the loop.
	events int
	// backlog is the number of log entries that a failover would have to read.
	backlog int
}

func (l *loadLog) due(now time.Time) bool { return now.Sub(l.loggedAt) >= constants.LoadLogInterval }

// log logs the load since the previous call. The first call only stores the totals, as there
// are none to compare them with.
func (l *loadLog) log(logger *slog.Logger, current WorkCounts, gauges loadGauges, now time.Time) {
	first, periodS := l.loggedAt.IsZero(), now.Sub(l.loggedAt).Seconds()
	if !first {
		logger.Info("load", l.attributes(current, gauges, periodS)...)
	}
	if usage := l.usageAttributes(periodS); usage != nil && !first {
		logger.Debug("state service load", usage...)
	}
	l.loggedAt, l.lastCounts = now, current
}

// attributes returns the log attributes of the load line for a period of periodS seconds.
func (l *loadLog) attributes(current WorkCounts, gauges loadGauges, periodS float64) []any {
	previous := l.lastCounts
	return []any{
		"jobs", gauges.jobs, "machines", gauges.machines,
		"heartbeats_per_s", perSecond(current.Heartbeats, previous.Heartbeats, periodS),
		"replied_commands_per_s", perSecond(current.RepliedCommands, previous.RepliedCommands, periodS),
		"direct_commands_per_s", perSecond(current.DirectCommands, previous.DirectCommands, periodS),
		"passes_per_s", perSecond(current.Passes, previous.Passes, periodS),
		"pass_share", fractionOfPeriod(current.PassSeconds, previous.PassSeconds, periodS),
		"commits_per_s", perSecond(current.Commits, previous.Commits, periodS),
		"commit_share", fractionOfPeriod(current.CommitSeconds, previous.CommitSeconds, periodS),
		"busy_share", fractionOfPeriod(current.BusySeconds, previous.BusySeconds, periodS),
		"entries_kb_per_s", kilobytesPerSecond(current.Log.EntryBytes, previous.Log.EntryBytes, periodS),
		"metadata_kb_per_s", kilobytesPerSecond(current.MetadataBytes, previous.MetadataBytes, periodS),
		"checkpoint_kb_per_s", kilobytesPerSecond(current.Log.PartBytes, previous.Log.PartBytes, periodS),
		"queued_events", gauges.events, "log_backlog", gauges.backlog,
	}
}

// usageAttributes returns log attributes with each class's use of the state service since the
// previous call, or nil if the usage is unknown.
func (l *loadLog) usageAttributes(periodS float64) (attributes []any) {
	if l.usage == nil {
		return nil
	}
	usageTotals := make(map[statestore.Class]statestore.Usage)
	for _, class := range statestore.Classes {
		current, previous := l.usage(class), l.usageTotals[class]
		usageTotals[class] = current
		attributes = append(attributes, class.String(), fmt.Sprintf("%.1f requests/s, %.1f writes/s, %.2f waiting",
			perSecond(current.Requests, previous.Requests, periodS), perSecond(current.Writes, previous.Writes, periodS), fractionOfPeriod(current.WaitSeconds, previous.WaitSeconds, periodS)))
	}
	l.usageTotals = usageTotals
	return attributes
}

// perSecond returns the rate of change of a total, rounded to a tenth.
func perSecond(current, previous uint64, periodS float64) float64 {
	return math.Round(float64(current-previous)/periodS*10) / 10
}

// kilobytesPerSecond returns the rate of change of a total of bytes in KiB per second, rounded to a
// tenth.
func kilobytesPerSecond(current, previous uint64, periodS float64) float64 {
	return math.Round(float64(current-previous)/periodS/102.4) / 10
}

// fractionOfPeriod returns the fraction of the period by which a total of seconds has grown,
// rounded to a thousandth.
func fractionOfPeriod(current, previous, periodS float64) float64 {
	return math.Round((current-previous)/periodS*1000) / 1000
}

// logLoad logs the leader's load every LoadLogInterval.
func (l *Leader) logLoad(now time.Time) {
	if !l.load.due(now) {
		return
	}
	l.counts.Log = l.wal.Stats()
	gauges := loadGauges{jobs: l.jobs.len(), machines: l.fleet.len(), events: len(l.events), backlog: l.wal.Backlog()}
	l.load.log(l.deps.Log, l.workCounts(), gauges, now)
}

// workCounts returns the current totals.
func (l *Leader) workCounts() WorkCounts {
	workCounts := l.counts
	workCounts.MetadataBytes = l.metadata.recordedBytes()
	return workCounts
}
