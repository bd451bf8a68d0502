package main

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// noteKeys logs what came of reading the settings again for new fleet keys.
func (n *node) noteKeys(err error) {
	if err != nil {
		logs.Error(n.log, logs.EventSettingsRejected, zap.Error(err))
		return
	}
	logs.Info(n.log, logs.EventKeysReloaded, zap.Int("accepted", len(n.live.Keys().Accepted)))
}
