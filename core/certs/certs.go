// Package certs provides mutual TLS for the links between lycheepond's processes. The
// certificates can be replaced without a restart.
//
// Processes dial each other at the addresses in the instance list, and instances are
// replaced at any time. Therefore a peer is trusted if the fleet's own certificate
// authority signed its certificate, whatever host name the certificate contains. The
// handshake of package wire identifies the peer.
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

// ErrNoPeerCertificate reports a peer that presented no certificate.
var ErrNoPeerCertificate = errors.New("certs: peer has no certificate: set tls in its settings")

// Files names the files of a process's certificate, its private key and the
// certificate authorities of its peers. While an authority is being replaced, the CA
// file contains both.
type Files struct {
	Cert, Key, CA string
}

// credentials is the content of the files at one moment.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool
	// stamps are the files' modification times and sizes, to detect changes.
	stamps [3]fileStamp
}

// fileStamp is the modification time and the size of a file.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// Source holds the current certificates and reloads them when a file changes. It is
// safe for concurrent use.
type Source struct {
	files    Files
	onReload func(changed bool, err error)
	// mu serializes reloads.
	mu      sync.Mutex
	current atomic.Pointer[credentials]
}

// New reads the files. onReload is called after each later reload and when the new
// content of the files cannot be used; it may be nil.
func New(files Files, onReload func(changed bool, err error)) (*Source, error) {
	if onReload == nil {
		onReload = func(bool, error) {}
	}
	s := &Source{files: files, onReload: onReload}
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

// Refresh reads the files again if one has changed, and reports whether the
// certificates were replaced. If the files cannot be used, for example because a
// certificate was replaced before its key, the previous certificates stay in use.
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

// latest returns the certificates after a Refresh. It is called for each connection,
// so that the next connection uses replaced files. Checking three files is cheap
// compared to a handshake.
func (s *Source) latest() *credentials {
	if changed, err := s.Refresh(); changed || err != nil {
		s.onReload(changed, err)
	}
	return s.current.Load()
}

// stamps returns the stamps of the three files.
func (f Files) stamps() (out [3]fileStamp, err error) {
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return out, eris.Wrap(err, "certs: check tls in the settings")
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

// load reads the three files.
func (f Files) load(stamps [3]fileStamp) (*credentials, error) {
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
	return &credentials{cert: &cert, pool: pool, stamps: stamps}, nil
}

// Server returns the TLS configuration of listeners. Clients must present a
// certificate of the fleet's authority.
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

// Client returns the TLS configuration of dialers.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.latest().cert, nil
		},
		// The standard check requires a host name and cannot follow a replaced
		// authority. verify makes the other checks.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// verify checks that the fleet's authority signed the peer's certificate.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: s.latest().pool, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return eris.Wrap(err, "certs: peer's certificate is not the fleet's, have it signed by the authority in tls.ca")
	}
	return nil
}

// Accept returns the server side of TLS over an accepted connection. With a nil
// Source it returns conn unchanged.
func (s *Source) Accept(conn net.Conn) net.Conn {
	if s == nil {
		return conn
	}
	return tls.Server(conn, s.Server())
}

// Dial opens a link connection with TLS, or without TLS if the Source is nil.
func (s *Source) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	if s == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: &d, Config: s.Client()}).DialContext(ctx, "tcp", address)
}
