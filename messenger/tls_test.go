package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/messenger"
)

// certificate returns a self-signed certificate for name and a certificate pool that trusts it.
func certificate(t *testing.T, name string) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	must.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// Guards against calls over mutual TLS that fail or lose the name of the peer, and against calls that a peer without a trusted
// certificate can make.
func TestMutualTLS(t *testing.T) {
	agent, agents := certificate(t, "agent-1")
	entry, entries := certificate(t, "entry-1")
	untrusted, _ := certificate(t, "entry-1")
	m := messenger.NewMux()
	messenger.Handle(m, "whoami", func(_ context.Context, p messenger.Peer, _ payload) (payload, error) {
		return payload{p.Name}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() {
		served <- messenger.Serve(ctx, l, m, messenger.WithTLS(func() *tls.Config {
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{agent}, ClientCAs: entries,
				ClientAuth: tls.RequireAndVerifyClientCert,
			}
		}))
	}()
	call := func(clientCert tls.Certificate) (payload, string, error) {
		p := messenger.NewPool(messenger.WithTLS(func() *tls.Config {
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{clientCert}, RootCAs: agents, ServerName: "agent-1",
			}
		}))
		defer p.Close()
		c, err := p.Conn(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
		if err != nil {
			return payload{}, "", err
		}
		q, err := messenger.Call[payload, payload](t.Context(), c, "whoami", payload{})
		return q, c.Peer().Name, err
	}
	got, peer, err := call(entry)
	must.NoError(t, err)
	must.Eq(t, "entry-1", got.Text)
	must.Eq(t, "agent-1", peer)
	_, _, err = call(untrusted)
	must.Error(t, err)
	cancel()
	must.NoError(t, <-served)
}
