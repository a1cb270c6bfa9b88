package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address. It can hold back or refuse them.
type proxy struct {
	addr, target string
	mu           sync.Mutex
	held         bool
	refused      bool
	conns        map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// hold holds all packets back, or lets them go on.
func (p *proxy) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

// reset resets all connections, and refuses new ones while refused is set.
func (p *proxy) reset(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = refused
	for conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	refused := p.refused
	p.mu.Unlock()
	if refused {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	go p.copy(target, conn)
	p.copy(conn, target)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for p.isHeld() {
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

func (p *proxy) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}
