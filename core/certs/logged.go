package certs

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// Logged returns a source that logs each replacement of its files. Without
// files it returns nil, and links are plain.
func Logged(files Files, log *zap.Logger) (*Source, error) {
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
