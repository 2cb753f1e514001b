package assembler

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/streamer"
)

// certificateCheckInterval is the time between two checks of the certificate files for changes.
const certificateCheckInterval = 30 * time.Second

func (p *process) loadTLS() error {
	s := p.settings.TLS
	if s.Certificate == "" {
		return nil
	}
	t, err := authenticator.LoadTLS(authenticator.TLSFiles{
		Certificate: s.Certificate, Key: s.Key, Authority: s.Authority, ServerName: serverName,
	})
	if err != nil {
		return fmt.Errorf("assembler: load certificates of %s: %w", p.settings.Instance, err)
	}
	p.tls = t
	return nil
}

// serverName is the name that the certificates of all processes of a deployment carry.
const serverName = "siskinfront"

func (p *process) messengerOptions(config func(*authenticator.TLS) *tls.Config) []messenger.Option {
	if p.tls == nil {
		return nil
	}
	return []messenger.Option{messenger.WithTLS(func() *tls.Config { return config(p.tls) })}
}

// dialAgent connects to the data listener of an agent with the current certificates. It reports a failed handshake as a
// failed dial, because no order has been sent by then.
func (p *process) dialAgent(ctx context.Context, network, address string) (net.Conn, error) {
	d := tls.Dialer{Config: p.tls.ClientConfig()}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// streamsClient returns the client that opens streams at agents, with mutual TLS if the settings have certificates.
func (p *process) streamsClient() *streamer.Client {
	if p.tls == nil {
		return streamer.NewClient()
	}
	return streamer.NewClient(streamer.WithDial(p.dialAgent))
}

// dataListener returns the listener for orders, which accepts only mutual TLS if the settings have certificates.
func (p *process) dataListener(l net.Listener) net.Listener {
	if p.tls == nil {
		return l
	}
	return tls.NewListener(l, p.tls.ServerConfig())
}
