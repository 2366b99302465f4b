package delimiter

import (
	"net"

	"golang.org/x/sys/unix"
)

// isOpen reports whether a TCP connection is known to be open for sending, although its reads have ended. Then the other side has ended
// them, because a failure ends both directions.
func isOpen(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return err == nil && failed == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}
