package constants

import "time"

// Requests to the cloud.
const (
	// CloudTimeout is the timeout of one request to the cloud.
	CloudTimeout = 4 * time.Second
	// MinCloudBackoff and MaxCloudBackoff bound the exponential backoff after a failed request.
	MinCloudBackoff = 500 * time.Millisecond
	MaxCloudBackoff = 4 * time.Second
	// MaxCloudConns and MaxIdleCloudConns are the maximum numbers of open and of idle
	// connections to the cloud. There are only a few requests per second.
	MaxCloudConns     = 4
	MaxIdleCloudConns = 2
	// CloudErrorExcerpt is the number of characters of an unexpected response that an error
	// quotes.
	CloudErrorExcerpt = 120
	// CatalogRefreshInterval is the time between two reads of the catalog, which update the
	// prices.
	CatalogRefreshInterval = 60 * time.Second
	// CatalogRetryDelay is the delay before the next attempt while no catalog is known.
	CatalogRetryDelay = 1 * time.Second
	// MinInstanceListInterval is the minimum time between two reads of the cloud's machine list.
	MinInstanceListInterval = 3 * time.Second
	// MaxInstanceListRateShare is the largest fraction of the cloud's request rate that
	// reading the machine list should use. The rest is for renting and returning machines.
	MaxInstanceListRateShare = 0.5
	// InstanceListPageSize is the number of machines per page of the list (protocol: at most
	// 500).
	InstanceListPageSize = 500
	// MaxMachinesPerRent is the maximum number of machines in one rent request (protocol).
	MaxMachinesPerRent = 50
	// MaxMachinesPerReturn is the maximum number of machines in one return request (protocol).
	MaxMachinesPerReturn = 100
)

// Scale out.
const (
	// NoCapacityBackoff is the time for which a pool (machine type, zone, spot or on-demand)
	// is not requested again after the cloud had no capacity for it.
	NoCapacityBackoff = 10 * time.Second
	// ArrivalRateWindow is the period over which arriving jobs are counted to predict demand.
	ArrivalRateWindow = 60 * time.Second
	// DefaultScaleOutSpare is the default of the operator setting renting.spare: the number of
	// machines beyond the present demand, in units of the square root of the demand that is
	// expected to arrive while a machine boots.
	DefaultScaleOutSpare = 4.0
	// OverflowPriceFactor times the spot price, divided by the on-demand price, is the
	// fraction of unavailable spot machines that is replaced by on-demand ones.
	OverflowPriceFactor = 2
)

// Scale in.
const (
	// DefaultScaleInKeep is the default of the operator setting renting.keep, in the same units
	// as DefaultScaleOutSpare.
	DefaultScaleInKeep = 4.0
	// TerminatedRetention is how long a terminated machine is remembered, since the cloud's
	// list may still name it and a delayed heartbeat may still arrive from it.
	TerminatedRetention = 10 * time.Minute
	// FleetReviewInterval is the time between two checks for slow, faulty and surplus machines.
	FleetReviewInterval = time.Second
	// IdleReturnAfter is how long a surplus machine must be idle before it is returned.
	IdleReturnAfter = 10 * time.Second
	// CapacityWindow is the period whose highest desired capacity determines which machines are
	// surplus.
	CapacityWindow = 20 * time.Second
	// BootTimeoutFactor times the boot time in the catalog is the time after which a machine
	// without a heartbeat is returned.
	BootTimeoutFactor = 3.0
	// SilentReturnAfter is how long after its lease a silent machine is returned. It leaves a
	// short network partition time to heal.
	SilentReturnAfter = 25 * time.Second
	// UnreachableZoneReturnAfter replaces SilentReturnAfter while most machines of a zone are
	// silent, which indicates a network partition rather than machine failures.
	UnreachableZoneReturnAfter = 90 * time.Second
	// UnreachableZoneMinSilent is the minimum number of silent machines in an unreachable zone.
	UnreachableZoneMinSilent = 3
	// UnreachableZoneRecovery is how long a zone still counts as unreachable after most of its
	// machines are back. The remaining machines may need longer, because a worker without a
	// reply tries all nodes in turn for a few seconds each.
	UnreachableZoneRecovery = 40 * time.Second
)
