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

// OSNetwork is the operating system's network.
type OSNetwork struct{ *net.Dialer }

// Listen opens a listener on the given address.
func (OSNetwork) Listen(network, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), network, address)
}
