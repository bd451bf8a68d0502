package logs

import (
	"go.uber.org/zap"

	"lycheepond/core/poison"
)

// LogQuarantine writes one line for the beginning or the early end of a quarantine.
func LogQuarantine(l *zap.Logger, c poison.Change) {
	if c.Released {
		Info(l, EventQuarantineLifted, zap.Stringer("fingerprint", c.Fingerprint))
		return
	}
	Warn(l, EventQuarantined, zap.Stringer("fingerprint", c.Fingerprint), zap.Duration("left", c.Duration),
		zap.Int("quarantines", c.Quarantines), zap.Strings("endpoints", c.Endpoints), zap.Bool("local", c.Local))
}
