package certs

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// NewLogged returns a Source that logs each reload of its files. Without files it
// returns nil, which means links without TLS.
func NewLogged(files Files, log *zap.Logger) (*Source, error) {
	if files == (Files{}) {
		return nil, nil
	}
	return New(files, func(_ bool, err error) {
		if err != nil {
			logs.Warn(log, logs.EventSettingsRejected, zap.Error(err))
			return
		}
		logs.Info(log, logs.EventCertsReloaded)
	})
}
