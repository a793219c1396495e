package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval is the time between two TCP keep-alive probes on an idle
	// connection.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the maximum number of unanswered probes.
	keepAliveCount = 3
)

// NewDialer returns a dial function whose connections fail when sent data stays
// unacknowledged for ackTimeout. On idle connections, TCP keep-alive probes start
// after ackTimeout.
func NewDialer(connectTimeout, ackTimeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: ackTimeout, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			var optionErr error
			err := rawConn.Control(func(descriptor uintptr) {
				optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return dialer.DialContext
}
