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
	// Authority is the certificate authority that signs all processes of the deployment.
	Authority string `yaml:"authority" json:"authority" validate:"required"`
	// ServerName is the name that the certificates of all processes carry.
	ServerName string `yaml:"server-name" json:"server-name" validate:"required"`
}

// TLS provides TLS from files that are read again without a restart; it is safe for concurrent use.
type TLS struct {
	files TLSFiles
	// anonymous is set for a listener whose clients have no certificate.
	anonymous bool
	current   atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

// LoadServerTLS reads the certificate of a listener whose clients have none and are known by a key.
func LoadServerTLS(certificate, key string) (*TLS, error) {
	t := &TLS{files: TLSFiles{Certificate: certificate, Key: key}, anonymous: true}
	if err := t.Reload(); err != nil {
		return nil, err
	}
	return t, nil
}

// LoadAuthority reads the certificates that a peer is checked against.
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

// Reload reads the files again; on an error the former certificates stay in use.
func (t *TLS) Reload() error {
	certificate, err := tls.LoadX509KeyPair(t.files.Certificate, t.files.Key)
	if err != nil {
		return fmt.Errorf("authenticator: load certificate: %w", err)
	}
	if t.anonymous {
		t.current.Store(&material{certificate: certificate})
		return nil
	}
	pool, err := LoadAuthority(t.files.Authority)
	if err != nil {
		return err
	}
	t.current.Store(&material{certificate, pool})
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
			slog.WarnContext(ctx, "certificate reload fails, the former one stays in use", "error", err)
		}
		failed = err != nil
	}
}

// Server returns the configuration of listeners; each new connection uses the current files.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := t.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}}
			if !t.anonymous {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.pool
			}
			return c, nil
		},
	}
}

// Client returns the configuration of one outgoing connection under the current files.
func (t *TLS) Client() *tls.Config {
	m := t.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, RootCAs: m.pool,
		ServerName: t.files.ServerName,
	}
}
