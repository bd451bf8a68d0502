package main

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
)

var errCA = errors.New("entry: no certificate in tls.ca: give a PEM file with the fleet's authority")

// certificates reads the files at each connection, so that they are replaced
// without a restart.
func (n *node) certificates() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(n.cfg.TLS.Cert, n.cfg.TLS.Key)
	if err != nil {
		return cert, nil, err
	}
	pem, err := os.ReadFile(n.cfg.TLS.CA)
	if err != nil {
		return cert, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return cert, nil, errCA
	}
	return cert, pool, nil
}

func (n *node) clientTLS() (*tls.Config, error) {
	cert, pool, err := n.certificates()
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// serverTLS returns how the link port speaks TLS, nil if it does not.
func (n *node) serverTLS() (*tls.Config, error) {
	if !n.cfg.TLS.On() {
		return nil, nil
	}
	cert, pool, err := n.certificates()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
