// Package certs gives the links between lycheepond's processes mutual TLS with
// certificates that are replaced without a restart.
//
// Processes dial each other by address, as the instance list has it, and
// instances are replaced at any time. So a peer is trusted because the fleet's
// own certificate authority signed its certificate, not for the host name in
// it; who it is the handshake of package wire tells.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoPeerCertificate reports a peer without a certificate.
var ErrNoPeerCertificate = errors.New("certs: peer has no certificate: set tls in its settings")

// Files name a process's certificate, its private key and the authorities that
// sign peers. While an authority is replaced its file holds both.
type Files struct {
	Cert, Key, CA string
}

// pair is what the files held at one moment.
type pair struct {
	cert *tls.Certificate
	pool *x509.CertPool
	// stamps are the files' times and sizes, to notice a change.
	stamps [3]stamp
}

type stamp struct {
	at   time.Time
	size int64
}

// Source holds the current certificates. It is safe for concurrent use.
type Source struct {
	files Files
	note  func(changed bool, err error)
	// mu keeps reloads one at a time.
	mu      sync.Mutex
	current atomic.Pointer[pair]
}

// New reads the files. note hears when they were replaced and when what they
// hold cannot be used; nil hears nothing.
func New(files Files, note func(changed bool, err error)) (*Source, error) {
	if note == nil {
		note = func(bool, error) {}
	}
	s := &Source{files: files, note: note}
	stamps, err := files.stamps()
	if err != nil {
		return nil, err
	}
	p, err := files.load(stamps)
	if err != nil {
		return nil, err
	}
	s.current.Store(p)
	return s, nil
}

// Refresh reads the files again if one has changed and reports whether it did.
// Files that cannot be used, such as a certificate that was replaced before its
// key, leave the former certificates in use.
func (s *Source) Refresh() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.files.stamps()
	if err != nil || stamps == s.current.Load().stamps {
		return false, err
	}
	p, err := s.files.load(stamps)
	if err != nil {
		return false, err
	}
	s.current.Store(p)
	return true, nil
}

// latest returns what the files hold now. It is called for each connection, so
// that replaced files are used by the next one; a look at three files is small
// beside a handshake.
func (s *Source) latest() *pair {
	if changed, err := s.Refresh(); changed || err != nil {
		s.note(changed, err)
	}
	return s.current.Load()
}

func (f Files) stamps() (out [3]stamp, err error) {
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return out, eris.Wrap(err, "certs: check tls in the settings")
		}
		out[i] = stamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

func (f Files) load(stamps [3]stamp) (*pair, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, eris.Wrap(err, "certs: check tls.cert and tls.key, both PEM and made for each other")
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, eris.Wrap(err, "certs: check tls.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("certs: %s holds no certificate: write the fleet's certificate authority as PEM", f.CA)
	}
	return &pair{cert: &cert, pool: pool, stamps: stamps}, nil
}

// Server returns the configuration of listeners: peers must show a certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := s.latest()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*p.cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: p.pool,
			}, nil
		},
	}
}

// Client returns the configuration of dialers.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.latest().cert, nil
		},
		// The standard check would ask for a host name and could not follow a
		// replaced authority; verify does the rest of it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoPeerCertificate
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.latest().pool, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return eris.Wrap(err, "certs: peer's certificate is not the fleet's, have it signed by the authority in tls.ca")
	}
	return nil
}

// Accept wraps an accepted connection; a nil Source leaves it plain.
func (s *Source) Accept(conn net.Conn) net.Conn {
	if s == nil {
		return conn
	}
	return tls.Server(conn, s.Server())
}

// Dial opens a link connection; a nil Source opens a plain one.
func (s *Source) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	if s == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: &d, Config: s.Client()}).DialContext(ctx, "tcp", address)
}
