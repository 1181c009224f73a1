// Package port reserves TCP ports for servers that start later, or that stop and start again.
package port

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"hibiscuslane.example/hibiscuslane/instance"
)

// Reservation keeps a TCP port of an IPv4 address. It holds a socket that is bound to the port and never listens. As long as it is
// open, the system gives the port to no outgoing connection and to no socket whose port it chooses; connections to the port are
// refused, unless a server listens there. Servers can listen there if they set SO_REUSEADDR, as package net does.
type Reservation struct {
	socket  *os.File
	address net.TCPAddr
}

// Reserve reserves the port of an address, or a free one if that port is 0.
func Reserve(address string) (*Reservation, error) {
	requested, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	syscall.ForkLock.RLock() // no process inherits the socket
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	r := &Reservation{socket: os.NewFile(uintptr(fd), address)}
	if r.address, err = bind(fd, requested); err != nil {
		return nil, errors.Join(fmt.Errorf("reserve %s: %w", address, err), r.Close())
	}
	return r, nil
}

// bind binds a socket and returns its address.
func bind(fd int, requested *net.TCPAddr) (net.TCPAddr, error) {
	local := &syscall.SockaddrInet4{Port: requested.Port}
	copy(local.Addr[:], requested.IP.To4())
	if err := syscall.Bind(fd, local); err != nil {
		return net.TCPAddr{}, os.NewSyscallError("bind", err)
	}
	// Set before the bind, it would let two reservations of one port succeed.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return net.TCPAddr{}, os.NewSyscallError("setsockopt", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return net.TCPAddr{}, os.NewSyscallError("getsockname", err)
	}
	return net.TCPAddr{IP: requested.IP, Port: bound.(*syscall.SockaddrInet4).Port}, nil
}

// Address returns the address with the reserved port.
func (r *Reservation) Address() instance.Address { return instance.Address(r.address.String()) }

// Port returns the reserved port.
func (r *Reservation) Port() int { return r.address.Port }

// Close releases the port. A server that listens on it keeps it. A second call has no effect.
func (r *Reservation) Close() error {
	if err := r.socket.Close(); !errors.Is(err, os.ErrClosed) {
		return err
	}
	return nil
}
