package simulator

import "time"

// Freeze blocks all sending and receiving of the host until resume is called, as when its
// process is suspended while the clock advances.
func (h *Host) Freeze() (resume func()) {
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

func (h *Host) waitUntilResumed() {
	h.mu.Lock()
	frozen := h.frozen
	h.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// DelayPackets delays each packet that the host sends by the duration that nextDelay returns for
// it. A nil nextDelay removes the delay.
func (h *Host) DelayPackets(nextDelay func() time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packetDelay = nextDelay
}

// sleepPacketDelay sleeps for the delay of one packet sent by the host.
func (h *Host) sleepPacketDelay() {
	h.mu.Lock()
	packetDelay := h.packetDelay
	h.mu.Unlock()
	if packetDelay != nil {
		time.Sleep(packetDelay())
	}
}

// Disconnect resets the host's connections to the given addresses. New connections to them are
// refused until Heal is called. Connections that the host accepts are not affected.
func (h *Host) Disconnect(addrs ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, addr := range addrs {
		h.unreachable[addr] = true
	}
	for c, addr := range h.conns {
		if h.unreachable[addr] {
			c.reset()
			delete(h.conns, c)
		}
	}
}

// Heal makes all addresses reachable again.
func (h *Host) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable = make(map[string]bool)
}

// Side is one side of a network partition: its hosts and the addresses that they listen on.
type Side struct {
	Hosts []*Host
	Addrs []string
}

// Partition cuts all connections between two sides, in both directions, as when two zones
// can't reach each other. Connections of either side to other hosts are not affected.
func Partition(a, b Side) {
	for _, host := range a.Hosts {
		host.Disconnect(b.Addrs...)
	}
	for _, host := range b.Hosts {
		host.Disconnect(a.Addrs...)
	}
}

// Kill closes all listeners and connections of the host and refuses new connections. A frozen
// host resumes, so that its blocked calls return.
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
		_ = l.Close() // never returns an error
	}
}
