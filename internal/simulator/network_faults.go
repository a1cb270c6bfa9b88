package simulator

import "time"

// Freeze keeps all that the host sends and receives until it goes on, as when its process
// stands still while its clocks run.
func (h *Host) Freeze() (goOn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	frozen := make(chan struct{})
	h.frozen = frozen
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.frozen == frozen {
			h.frozen = nil
			close(frozen)
		}
	}
}

func (h *Host) waitWhileFrozen() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// DelayPackets has each packet that the host sends take as long as is drawn; nil: no time at
// all.
func (h *Host) DelayPackets(draw func() time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = draw
}

// waitForPacket takes as long as a packet of the host does.
func (h *Host) waitForPacket() {
	h.mu.Lock()
	delay := h.delay
	h.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
}

// Cut resets the host's connections to these addresses and refuses new ones.
func (h *Host) Cut(addrs ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, addr := range addrs {
		h.cut[addr] = true
	}
	for c, addr := range h.conns {
		if h.cut[addr] {
			c.reset()
			delete(h.conns, c)
		}
	}
}

// Heal ends all cuts.
func (h *Host) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = make(map[string]bool)
}

// Side is one side of a partition: hosts, and the addresses that they listen on.
type Side struct {
	Hosts []*Host
	Addrs []string
}

// Partition cuts two sides off from each other, in both directions, as when two zones can't
// reach each other; both reach everybody else as before.
func Partition(a, b Side) {
	for _, host := range a.Hosts {
		host.Cut(b.Addrs...)
	}
	for _, host := range b.Hosts {
		host.Cut(a.Addrs...)
	}
}

// Kill ends all that the host has open.
func (h *Host) Kill() {
	h.mu.Lock()
	h.killed = true
	listeners := h.listeners
	for c := range h.conns {
		c.reset()
	}
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close() // it can't fail
	}
}
