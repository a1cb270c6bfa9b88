package autoscaling

// This file defines the messages of the cloud's API. The API's own names appear only in the
// JSON tags.

// Catalog lists the machine types that can be rented.
type Catalog struct {
	MachineTypes []MachineType `json:"rigTypes"`
}

// MachineType describes one machine type of the catalog. Prices are in the cloud's own unit.
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

// Instance is a rented machine in the cloud's list.
type Instance struct {
	Name        string  `json:"nameId"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"rigType"`
	Zone        string  `json:"hall"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"heldS"`
}

// RentRequest requests machines of one pool. Requests are idempotent by their ID, so an ID
// must never be used for another request.
type RentRequest struct {
	ID          string `json:"hire"`
	MachineType string `json:"rigType"`
	Zone        string `json:"hall"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

// rentResponse lists the names of the machines that were rented.
type rentResponse struct {
	Machines []string `json:"rigs"`
}

// returnRequest lists the names of the machines to return.
type returnRequest struct {
	Machines []string `json:"rigs"`
}

// listResponse is one page of the list of rented machines.
type listResponse struct {
	Machines []Instance `json:"rigs"`
	HasNext  bool       `json:"hasNext"`
}

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error string `json:"error"`
}
