package main

import (
	"go.uber.org/zap"

	"lycheepond/core/certs"
	"lycheepond/core/logs"
)

// secure reads the certificates of links; without tls in the settings links
// are plain.
func (n *node) secure() error {
	t := n.cfg.TLS
	if !t.On() {
		return nil
	}
	var err error
	n.certs, err = certs.New(certs.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, n.noteCerts)
	return err
}

func (n *node) noteCerts(_ bool, err error) {
	if err != nil {
		logs.Warn(n.log, logs.EventSettingsRejected, zap.Error(err))
		return
	}
	logs.Info(n.log, logs.EventCertsReloaded)
}
