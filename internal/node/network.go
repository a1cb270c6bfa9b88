package node

import (
	"context"
	"net"
)

// Network is how a node reaches others and is reached.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the machine's own network.
type System struct{ *net.Dialer }

// Listen opens a listener.
func (System) Listen(network, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), network, address)
}
