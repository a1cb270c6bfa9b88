package constants

import "time"

// Requests to the cloud.
const (
	// CloudTimeout bounds one request to the cloud.
	CloudTimeout = 4 * time.Second
	// MinCloudBackoff and MaxCloudBackoff bound the pause after a call that the cloud did
	// not carry out.
	MinCloudBackoff = 500 * time.Millisecond
	MaxCloudBackoff = 4 * time.Second
	// CloudConns and CloudIdleConns are the connections opened and kept to the cloud: there
	// are few calls a second.
	CloudConns     = 4
	CloudIdleConns = 2
	// CloudErrorExcerpt is how much of an unexpected answer an error quotes (characters).
	CloudErrorExcerpt = 120
	// CatalogInterval is the time between two reads of the catalog, for the prices.
	CatalogInterval = 60 * time.Second
	// CatalogRetry is the pause before asking again while no catalog is known.
	CatalogRetry = 1 * time.Second
	// MinListInterval is the least time between two reads of the cloud's machine list.
	MinListInterval = 3 * time.Second
	// MaxListShare is the largest part of the cloud's allowed calls that these should take (ratio).
	MaxListShare = 0.5
	// InstanceListPage is the number of machines in one page of that list (protocol: 500 at most).
	InstanceListPage = 500
	// RentBatch is the largest number of machines in one rent request (protocol).
	RentBatch = 50
	// ReturnBatch is the largest number of names in one return request (protocol).
	ReturnBatch = 100
)

// Scale out.
const (
	// NoCapacityPause is the pause before asking again for a machine type, zone and kind
	// that was refused.
	NoCapacityPause = 10 * time.Second
	// ArrivalRateWindow is how far back jobs are counted to predict what may come.
	ArrivalRateWindow = 60 * time.Second
	// ScaleOutSpare is the default of the operator setting spare: machines beside those that
	// the demand fills, in units of the square root of what comes while a machine boots.
	ScaleOutSpare = 4.0
	// OverflowPriceFactor times the spot price, divided by the on-demand price, is the part
	// of the work without spot machines to be had for which on-demand ones are rented.
	OverflowPriceFactor = 2
)

// Scale in.
const (
	// ScaleInSpare is the default of the operator setting keep, in the units of ScaleOutSpare.
	ScaleInSpare = 4.0
	// TerminatedRetention is how long a machine that was given back is remembered: lists
	// lag, and a heartbeat may still be under way.
	TerminatedRetention = 10 * time.Minute
	// FleetReviewInterval is the pause between two searches for slow, faulty and unneeded
	// machines.
	FleetReviewInterval = time.Second
	// IdleReturnAfter is how long an unneeded machine is kept where price counts.
	IdleReturnAfter = 10 * time.Second
	// DemandWindow is how far back demand is remembered before machines are returned.
	DemandWindow = 20 * time.Second
	// BootTimeoutFactor times the catalog's boot time is how long a machine may take to send
	// its first heartbeat before it is returned.
	BootTimeoutFactor = 3.0
	// SilentReturnAfter is how long past its lease a machine may stay silent before it is
	// returned: long enough for a short network cut to heal.
	SilentReturnAfter = 25 * time.Second
	// UnreachableReturnAfter is the same when most of a zone is silent, which is a network
	// cut and not the end of its machines.
	UnreachableReturnAfter = 90 * time.Second
	// UnreachableMinMachines is the number of silent machines needed for that.
	UnreachableMinMachines = 3
	// UnreachableHold is how long a zone still counts as cut off once most of its machines
	// are back: a worker without an answer tries all nodes, a few seconds at each.
	UnreachableHold = 40 * time.Second
)
