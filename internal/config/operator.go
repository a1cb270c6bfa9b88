package config

import "thornnotch/internal/constants"

// Operator holds the operators' own settings. Every field has a default, so the file may be
// absent or name only what differs.
type Operator struct {
	Holds   HoldSettings    `yaml:"holds"`
	Budgets BudgetSettings  `yaml:"budgets"`
	Scaling ScalingSettings `yaml:"renting"`
	Log     LogSettings     `yaml:"log"`
}

// HoldSettings steer speculative slot reservation (paper, III-B and IV-B).
type HoldSettings struct {
	// Enabled turns holds off for comparison.
	Enabled bool `yaml:"enabled"`
	// SubmissionOrder makes holds also where no edges are named: for the next job of the
	// same team and class in the order of submission.
	SubmissionOrder bool `yaml:"submission_order"`
	// Alpha is the Pareto shape of task run times, above 1.
	Alpha float64 `yaml:"alpha"`
	// P is the wished chance that a stage ends before its holds lapse.
	P float64 `yaml:"p"`
	// Threshold is the finished part of a stage, from 0 to 1, past which more room is held.
	Threshold float64 `yaml:"threshold"`
}

// BudgetSettings are the parts, from 0 to 1, of the allowed rates that are used.
type BudgetSettings struct {
	// LeaderShare is the leader's part of the calls to the state service,
	// LeaderWriteShare its part of the changes.
	LeaderShare      float64 `yaml:"leader_share"`
	LeaderWriteShare float64 `yaml:"leader_write_share"`
	// Use is the part of every allowed rate that is planned for.
	Use float64 `yaml:"use"`
}

// ScalingSettings steer how many machines are rented.
type ScalingSettings struct {
	// Spare is how many machines more than the present demand fills are rented, in units
	// of the square root of that number.
	Spare float64 `yaml:"spare"`
	// Keep is the same for how many idle machines are kept, with the greatest demand of
	// the last while.
	Keep float64 `yaml:"keep"`
}

// LogSettings steer the leader's write-ahead log.
type LogSettings struct {
	// LargeRing lets a large fleet's entries stand in a ring that versions before it
	// do not read, once all nodes do. Off, the log is brought back to the first ring,
	// as before a return to such a version.
	LargeRing bool `yaml:"large_ring"`
}

// DefaultOperator is what holds without a file.
func DefaultOperator() Operator {
	return Operator{
		Holds: HoldSettings{
			Enabled:         true,
			SubmissionOrder: true,
			Alpha:           constants.HoldAlpha,
			P:               constants.HoldP,
			Threshold:       constants.HoldThreshold,
		},
		Budgets: BudgetSettings{
			LeaderShare:      constants.LeaderShare,
			LeaderWriteShare: constants.LeaderWriteShare,
			Use:              constants.BudgetUse,
		},
		Scaling: ScalingSettings{Spare: constants.ScaleOutSpare, Keep: constants.ScaleInSpare},
		Log:     LogSettings{LargeRing: true},
	}
}
