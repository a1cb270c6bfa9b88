package config

import "thornnotch/internal/constants"

// Operator contains the operators' settings. Every field has a default, so the file is
// optional and may set only some of them.
type Operator struct {
	Reservations ReservationSettings `yaml:"holds"`
	Budgets      BudgetSettings      `yaml:"budgets"`
	Scaling      ScalingSettings     `yaml:"renting"`
	Log          LogSettings         `yaml:"log"`
}

// ReservationSettings configure speculative slot reservation (paper, III-B and IV-B).
type ReservationSettings struct {
	// Enabled turns slot reservation on; off allows a comparison without it.
	Enabled bool `yaml:"enabled"`
	// SubmissionOrder reserves slots even if jobs declare no dependencies: for the next job
	// of the same team and class in the order of submission.
	SubmissionOrder bool `yaml:"submission_order"`
	// Alpha is the shape of the Pareto distribution of task run times, greater than 1.
	Alpha float64 `yaml:"alpha"`
	// P is the desired probability that a phase ends before its reservations expire.
	P float64 `yaml:"p"`
	// Threshold is the fraction of a phase's tasks, from 0 to 1, that must have finished
	// before further slots are pre-reserved.
	Threshold float64 `yaml:"threshold"`
}

// BudgetSettings are the fractions, from 0 to 1, of the allowed call rates that nodes use.
type BudgetSettings struct {
	// LeaderShare is the leader's fraction of the requests to the state service;
	// LeaderWriteShare is its fraction of the writes.
	LeaderShare      float64 `yaml:"leader_share"`
	LeaderWriteShare float64 `yaml:"leader_write_share"`
	// UsableShare is the fraction of each allowed rate that all nodes together use.
	UsableShare float64 `yaml:"use"`
}

// ScalingSettings configure how many machines are rented.
type ScalingSettings struct {
	// ScaleOutSpare is the number of machines rented beyond the present demand, in units of the
	// square root of the demand that is expected to arrive while a machine boots.
	ScaleOutSpare float64 `yaml:"spare"`
	// ScaleInKeep is the number of spare machines in the desired capacity for scale-in, in the
	// same units. Idle machines are returned only while there are more machines than the maximum
	// of this desired capacity over constants.CapacityWindow.
	ScaleInKeep float64 `yaml:"keep"`
}

// LogSettings configure the leader's write-ahead log.
type LogSettings struct {
	// LargeRing allows the log of a large fleet to use the large ring once all nodes can
	// read it. Turning it off moves the log back to the small ring, which is necessary before
	// a downgrade to a version that can't read the large one.
	LargeRing bool `yaml:"large_ring"`
}

// DefaultOperator returns the settings that apply without a file.
func DefaultOperator() Operator {
	return Operator{
		Reservations: ReservationSettings{
			Enabled:         true,
			SubmissionOrder: true,
			Alpha:           constants.DefaultReservationAlpha,
			P:               constants.DefaultReservationP,
			Threshold:       constants.DefaultReservationThreshold,
		},
		Budgets: BudgetSettings{
			LeaderShare:      constants.LeaderShare,
			LeaderWriteShare: constants.LeaderWriteShare,
			UsableShare:      constants.UsableBudgetShare,
		},
		Scaling: ScalingSettings{ScaleOutSpare: constants.DefaultScaleOutSpare, ScaleInKeep: constants.DefaultScaleInKeep},
		Log:     LogSettings{LargeRing: true},
	}
}
