package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
)

var errCA = errors.New("agent: no certificate in tls.ca: give a PEM file with the fleet's authority")

// secure returns how an accepted connection becomes a TLS one, nil if links
// use none. The files are read for each connection, so that certificates are
// replaced without a restart.
func (n *node) secure() func(net.Conn) net.Conn {
	if !n.cfg.TLS.On() {
		return nil
	}
	cfg := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return n.certificates() },
	}
	return func(conn net.Conn) net.Conn { return tls.Server(conn, cfg) }
}

func (n *node) certificates() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(n.cfg.TLS.Cert, n.cfg.TLS.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(n.cfg.TLS.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errCA
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
