package autoscaling

// The messages of the cloud's interface, by their protocol names. Nothing else in this
// package uses these names.

// Catalog lists what can be rented.
type Catalog struct {
	MachineTypes []MachineType `json:"rigTypes"`
}

// MachineType is one kind of machine in the catalog. Prices are in the cloud's own unit.
type MachineType struct {
	Name          string   `json:"sku"`
	CPUs          float64  `json:"vcpus"`
	GPUs          float64  `json:"accelerators"`
	MemoryGB      float64  `json:"ramGb"`
	CacheGB       float64  `json:"cacheGb"`
	FetchGBPerS   float64  `json:"pullGbPerS"`
	OnDemandPrice float64  `json:"rate"`
	SpotPrice     float64  `json:"marketPrice"`
	BootS         float64  `json:"readyS"`
	Zones         []string `json:"halls"`
}

// Instance is a rented machine as the cloud lists it.
type Instance struct {
	Name        string  `json:"nameId"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"rigType"`
	Zone        string  `json:"hall"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"heldS"`
}

// RentRequest asks for machines. It is idempotent by its ID, which must never have been
// used for another request.
type RentRequest struct {
	ID          string `json:"hire"`
	MachineType string `json:"rigType"`
	Zone        string `json:"hall"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// rentResponse names the machines that a rent request got.
type rentResponse struct {
	Machines []string `json:"rigs"`
}

// returnRequest names the machines to give back.
type returnRequest struct {
	Machines []string `json:"rigs"`
}

// listResponse is one page of the rented machines.
type listResponse struct {
	Machines []Instance `json:"rigs"`
	HasNext  bool       `json:"hasNext"`
}
