package node

import (
	"context"
	"net"
)

// Network opens a node's listeners and outgoing connections. Tests replace it by a simulated
// network.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the operating system's network.
type System struct{ *net.Dialer }

// Listen opens a listener on the given address.
func (System) Listen(network, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), network, address)
}
