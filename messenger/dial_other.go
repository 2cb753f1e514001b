//go:build !linux

package messenger

import (
	"context"
	"net"
)

// dialer returns the default dial function. Without TCP_USER_TIMEOUT, a black-holed connection that carries only notifications
// is not detected until its next call.
func dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext
}
