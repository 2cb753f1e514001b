package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// errNoCertificate is returned for an authority file without a certificate.
var errNoCertificate = errors.New("no certificate in file")

// TLSFiles names the PEM files of mutual TLS.
type TLSFiles struct {
	Certificate string `yaml:"certificate" json:"certificate" validate:"required"`
	Key         string `yaml:"key" json:"key" validate:"required"`
	// Authority is the file of the CA certificates that sign the certificates of all processes of the deployment.
	Authority string `yaml:"authority" json:"authority" validate:"required"`
	// ServerName is the name that the certificates of all processes carry.
	ServerName string `yaml:"server-name" json:"server-name" validate:"required"`
}

// TLS provides TLS configurations from files that can be reloaded without a restart; it is safe for concurrent use.
type TLS struct {
	files TLSFiles
	// serverOnly is set for a listener whose clients present no certificate.
	serverOnly bool
	current    atomic.Pointer[credentials]
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadServerTLS reads the certificate of a listener whose clients present none and authenticate with a key.
func LoadServerTLS(certificate, key string) (*TLS, error) {
	t := &TLS{files: TLSFiles{Certificate: certificate, Key: key}, serverOnly: true}
	if err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// LoadAuthority reads the CA certificates that a peer's certificate is verified against.
func LoadAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("authenticator: load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authenticator: load authority %s: %w", file, errNoCertificate)
	}
	return pool, nil
}

// LoadTLS reads the files of mutual TLS.
func LoadTLS(files TLSFiles) (*TLS, error) {
	t := &TLS{files: files}
	if err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// Reload reads the files again; on an error the previous certificates stay in use.
func (t *TLS) Reload() error {
	certificate, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return fmt.Errorf("authenticator: load certificate: %w", err)
	}
	if t.serverOnly {
		t.current.Store(&credentials{certificate: certificate})
		return nil
	}
	pool, err := LoadAuthority(t.files.Authority)
	if err != nil {
		return err
	}
	t.current.Store(&credentials{certificate, pool})
	return nil
}

// Run reloads the files at each interval until ctx ends.
func (t *TLS) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		err := t.Reload()
		if err != nil && !failed {
			slog.WarnContext(ctx, "certificate reload failed; the previous certificate stays in use", "error", err)
		}
		failed = err != nil
	}
}

// ServerConfig returns the configuration of listeners; each new connection uses the files of the last successful reload.
func (t *TLS) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := t.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}}
			if !t.serverOnly {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authorities
			}
			return c, nil
		},
	}
}

// ClientConfig returns the configuration of one outgoing connection from the files of the last successful reload.
func (t *TLS) ClientConfig() *tls.Config {
	m := t.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, RootCAs: m.authorities,
		ServerName: t.files.ServerName,
	}
}
