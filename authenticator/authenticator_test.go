package authenticator_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/authenticator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

func sha(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Guards against a key that authenticates as another client account, and against a key that stays valid after a new
// configuration has removed it.
func TestClientAccounts(t *testing.T) {
	cfg := &configurer.Configuration{}
	for i := range 50 {
		cfg.ClientAccounts = append(cfg.ClientAccounts, configurer.ClientAccount{
			Name: identifier.ClientAccount(fmt.Sprint(i)), Keys: []configurer.Key{{SHA256: sha(fmt.Sprintf("key-%d", i))}},
		})
	}
	var a authenticator.ClientAccounts
	for i := range 50 {
		got, err := a.Find(cfg, fmt.Sprintf("key-%d", i))
		must.NoError(t, err)
		must.Eq(t, &cfg.ClientAccounts[i], got)
	}
	for _, key := range []string{"", "key", "key-50", sha("key-1")} {
		_, err := a.Find(cfg, key)
		must.ErrorIs(t, err, authenticator.ErrUnknownKey)
	}
	_, err := a.Find(&configurer.Configuration{}, "key-1")
	must.ErrorIs(t, err, authenticator.ErrUnknownKey)
	must.Eq(t, "k", authenticator.BearerToken("bearer k"))
	must.Eq(t, "", authenticator.BearerToken("Basic k"))
}

// Guards against an operator who is authorized for more than the role allows.
func TestOperators(t *testing.T) {
	o, err := authenticator.NewOperators([]authenticator.Operator{
		{Name: "v", SHA256: sha("v"), Role: authenticator.RoleViewer}, {Name: "e", SHA256: sha("e"), Role: authenticator.RoleEditor},
	})
	must.NoError(t, err)
	_, err = o.Authorize("e", authenticator.RoleViewer)
	must.NoError(t, err)
	_, err = o.Authorize("v", authenticator.RoleEditor)
	must.ErrorIs(t, err, authenticator.ErrForbidden)
	_, err = o.Authorize("e", "root")
	must.ErrorIs(t, err, authenticator.ErrForbidden)
	_, err = o.Authorize("x", authenticator.RoleViewer)
	must.ErrorIs(t, err, authenticator.ErrUnknownKey)
	_, err = authenticator.NewOperators([]authenticator.Operator{{Role: "root"}})
	must.Error(t, err)
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) {
	t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
}

// issueCertificate writes a new self-signed certificate, which is its own authority, and its key.
func issueCertificate(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "process"}, DNSNames: []string{"siskinfront"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	writePEM(t, dir, "cert.pem", "CERTIFICATE", der)
	writePEM(t, dir, "ca.pem", "CERTIFICATE", der)
	writePEM(t, dir, "key.pem", "PRIVATE KEY", private)
}

// Guards against peers without a certificate, a reload that needs a restart, and a failed reload that discards the
// previous certificates.
func TestTLSReload(t *testing.T) {
	dir := t.TempDir()
	issueCertificate(t, dir, 1)
	files := authenticator.TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: filepath.Join(dir, "ca.pem"), ServerName: "siskinfront",
	}
	server, err := authenticator.LoadTLS(files)
	must.NoError(t, err)
	client, err := authenticator.LoadTLS(files)
	must.NoError(t, err)
	config := server.ServerConfig()
	handshake := func(c *tls.Config) error {
		a, b := net.Pipe()
		result := make(chan error, 1)
		go func() {
			result <- tls.Client(a, c).HandshakeContext(t.Context())
			_ = a.Close()
		}()
		serverErr := tls.Server(b, config).HandshakeContext(t.Context())
		_ = b.Close()
		if err := <-result; err != nil {
			return err
		}
		return serverErr
	}
	must.NoError(t, handshake(client.ClientConfig()))
	withoutCertificate := client.ClientConfig()
	withoutCertificate.Certificates = nil
	must.Error(t, handshake(withoutCertificate))
	issueCertificate(t, dir, 2)
	must.NoError(t, server.Reload())
	must.Error(t, handshake(client.ClientConfig()))
	must.NoError(t, client.Reload())
	must.NoError(t, handshake(client.ClientConfig()))
	must.NoError(t, os.WriteFile(files.Authority, []byte("x"), 0o600))
	must.Error(t, client.Reload())
	must.NoError(t, handshake(client.ClientConfig()))
}
