package drain

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// TakeQueue accepts the connections that wait in the queue of a listener and lets the kernel
// refuse further ones, without a wait in between. A deadline of the listener has no effect on
// it: it may expire before this process has seen a connection that has arrived. It returns
// none if the listener has no file descriptor.
func TakeQueue(l net.Listener) []net.Conn {
	holder, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return nil
	}
	var taken []int
	// An error means that the listener is closed already.
	_ = raw.Control(func(fd uintptr) {
		taken = acceptAll(int(fd))
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
	})
	var conns []net.Conn
	for _, fd := range taken {
		// An error means that no descriptor is left for the duplicate; the connection is reset.
		if c, err := fileConn(fd); err == nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// maxQueue bounds the connections that are taken from a queue, since new ones may keep coming.
const maxQueue = 4096

// acceptAll accepts until no connection waits, at most maxQueue. The listener's descriptor
// doesn't block.
func acceptAll(listener int) []int {
	var taken []int
	for len(taken) < maxQueue {
		fd, _, err := syscall.Accept(listener)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return taken
		}
		syscall.CloseOnExec(fd)
		taken = append(taken, fd)
	}
	return taken
}

// fileConn returns a connection with a duplicate of the descriptor and closes that.
func fileConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	return net.FileConn(file)
}
