package assembler_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
)

// reloadTimeout bounds the wait for new certificates, for which the processes check every 30 s.
const reloadTimeout = 45 * time.Second

// authority is the certificate authority of a deployment.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T, dir string) *authority {
	a := &authority{t: t}
	a.cert, a.key = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	})
	writePEM(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) sign(c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	must.NoError(a.t, err)
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	raw, err := x509.CreateCertificate(crand.Reader, c, parent, &key.PublicKey, signer)
	must.NoError(a.t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(a.t, err)
	return cert, key
}

// pool returns a certificate pool with the certificate of the authority.
func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// writeCertificate writes the certificate and key that all processes share, with a serial number.
func (a *authority) writeCertificate(dir string, serial int64) {
	a.t.Helper()
	cert, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{"siskinfront"}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	raw, err := x509.MarshalECPrivateKey(key)
	must.NoError(a.t, err)
	writePEM(a.t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", raw)
	writePEM(a.t, filepath.Join(dir, "certificate.pem"), "CERTIFICATE", cert.Raw)
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// certificateSerial connects to a listener, with or without a client certificate, and returns the serial number of the server's
// certificate.
func certificateSerial(address, dir string, withCertificate bool) (int64, error) {
	c := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	if withCertificate {
		cert, err := tls.LoadX509KeyPair(filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem"))
		if err != nil {
			return 0, err
		}
		c.Certificates = []tls.Certificate{cert}
	}
	conn, err := tls.Dial("tcp", address, c)
	if err != nil {
		return 0, err
	}
	defer func() {
		// The result is known by then, so an error on closing does not matter.
		_ = conn.Close()
	}()
	// In TLS 1.3 the client's handshake ends before the server verifies the client certificate, so a rejection appears only on the
	// first read.
	if _, err := conn.Write([]byte("GET /run/none HTTP/1.1\r\nHost: siskinfront\r\n\r\n")); err != nil {
		return 0, err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against an agent that accepts orders without a client certificate of the deployment, operator keys that are sent in
// plain text, and a new certificate that takes effect only after a restart.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	var ca *authority
	d := newDeployment(t, 2*time.Millisecond, func(d *deployment) {
		ca = newAuthority(t, d.dir)
		ca.writeCertificate(d.dir, 2)
		d.tls = fmt.Sprintf("tls: {certificate: %[1]s/certificate.pem, key: %[1]s/key.pem, authority: %[1]s/authority.pem}\n", d.dir)
		d.adminTLS = fmt.Sprintf("admin: {certificate: %[1]s/certificate.pem, key: %[1]s/key.pem}\n", d.dir)
	})
	checkAnswers := func() {
		t.Helper()
		for n := range 10 {
			for _, entry := range []string{"entry-1", "entry-2"} {
				nonce := fmt.Sprintf("nonce-tls-%d", n)
				a := d.send(call{entry: entry, kind: "status-check", nonce: nonce, stream: n%2 == 0})
				must.True(t, a.ok(nonce), must.Sprintf("%+v", a))
			}
		}
	}
	checkAnswers()
	address := d.procs["agent-1"].address("data").String()
	resp, err := http.Post("http://"+address+"/run", "application/json", strings.NewReader("{}\n"))
	if err == nil {
		must.NoError(t, resp.Body.Close())
		must.EqOp(t, http.StatusBadRequest, resp.StatusCode)
	}
	_, err = certificateSerial(address, d.dir, false)
	must.ErrorContains(t, err, "certificate required")
	n, err := certificateSerial(address, d.dir, true)
	must.NoError(t, err)
	must.EqOp(t, 2, n)
	admin := d.procs["entry-1"].address("admin").String()
	// Operators need no client certificate, but the API does not answer without TLS.
	n, err = certificateSerial(admin, d.dir, false)
	must.NoError(t, err)
	must.EqOp(t, 2, n)
	_, err = d.admin("entry-1").Configuration(t.Context(), nil)
	must.Error(t, err)
	for name, ok := range map[string]bool{"siskinfront": true, "other": false} {
		_, err = d.admin("entry-1", administrator.WithTLS(&tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: ca.pool(), ServerName: name,
		})).Configuration(t.Context(), nil)
		must.EqOp(t, ok, err == nil, must.Sprint(err))
	}
	ca.writeCertificate(d.dir, 3)
	d.eventually("the administration API uses the new certificate", reloadTimeout, func() bool {
		n, err := certificateSerial(admin, d.dir, false)
		return err == nil && n == 3
	})
	d.eventually("the agent uses the new certificate", reloadTimeout, func() bool {
		n, err := certificateSerial(address, d.dir, true)
		return err == nil && n == 3
	})
	checkAnswers()
}
