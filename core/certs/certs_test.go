package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a test certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write creates a certificate and writes it to dir, with its key and the trusted
// authorities.
func (a authority) write(t *testing.T, dir string, trusted ...authority) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	var pool []byte
	for _, c := range trusted {
		pool = append(pool, c.pem...)
	}
	f := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	for path, data := range map[string][]byte{
		f.Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		f.Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
		f.CA:   pool,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func newSource(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := New(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshakeErrors makes client dial server and returns the errors of both ends.
func handshakeErrors(t *testing.T, server *Source, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := plain.Accept()
		if err == nil {
			conn = server.Accept(conn)
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		result <- err
	}()
	raw, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(raw, client)
	clientErr = conn.Handshake()
	conn.Close()
	return <-result, clientErr
}

// A process of another fleet, or one without a certificate, dials a link port. The
// connection must fail before any message is exchanged.
func TestPeersNeedFleetCertificate(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server := newSource(t, ours.write(t, t.TempDir(), ours))
	if s, c := handshakeErrors(t, server, newSource(t, ours.write(t, t.TempDir(), ours)).Client()); s != nil || c != nil {
		t.Errorf("same fleet: server %v, client %v", s, c)
	}
	foreign := newSource(t, theirs.write(t, t.TempDir(), theirs, ours))
	if s, _ := handshakeErrors(t, server, foreign.Client()); s == nil {
		t.Error("server accepted a certificate of another authority")
	}
	if s, _ := handshakeErrors(t, server, &tls.Config{InsecureSkipVerify: true}); s == nil {
		t.Error("server accepted a peer without a certificate")
	}
	if _, c := handshakeErrors(t, foreign, newSource(t, ours.write(t, t.TempDir(), ours)).Client()); c == nil {
		t.Error("client accepted a server of another authority")
	}
}

// The fleet's authority is replaced while the processes run. Links opened after the
// files changed must use the new one, and incomplete files must not make the process
// lose its certificate.
func TestCertificatesAreReplacedWithoutRestart(t *testing.T) {
	older, newer := newAuthority(t, "older"), newAuthority(t, "newer")
	dir := t.TempDir()
	files := older.write(t, dir, older)
	server := newSource(t, files)
	fresh := newSource(t, newer.write(t, t.TempDir(), newer))
	if s, _ := handshakeErrors(t, server, fresh.Client()); s == nil {
		t.Fatal("the new authority was accepted too early")
	}
	if err := os.WriteFile(files.Cert, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := server.Refresh(); changed || err == nil {
		t.Fatalf("half-written file: changed %v, err %v", changed, err)
	}
	if s, c := handshakeErrors(t, server, newSource(t, older.write(t, t.TempDir(), older)).Client()); s != nil || c != nil {
		t.Fatalf("old certificate after a failed refresh: server %v, client %v", s, c)
	}
	newer.write(t, dir, older, newer)
	// The test does not call Refresh here: the next connection does it.
	if s, c := handshakeErrors(t, server, fresh.Client()); s != nil || c != nil {
		t.Fatalf("new authority: server %v, client %v", s, c)
	}
}

// An agent restarts with a certificate of the new authority. An entry that has only
// dialled with the old one must reach it again.
func TestDialerUsesReplacedAuthority(t *testing.T) {
	older, newer := newAuthority(t, "older"), newAuthority(t, "newer")
	dir := t.TempDir()
	files := older.write(t, dir, older)
	client := newSource(t, files)
	server := newSource(t, newer.write(t, t.TempDir(), newer, older))
	if _, c := handshakeErrors(t, server, client.Client()); c == nil {
		t.Fatal("the new authority was accepted too early")
	}
	if err := os.WriteFile(files.CA, append(older.pem, newer.pem...), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, c := handshakeErrors(t, server, client.Client()); s != nil || c != nil {
		t.Fatalf("server %v, client %v", s, c)
	}
}
