package logs

import (
	"go.uber.org/zap"

	"lycheepond/core/poison"
)

// LogQuarantine writes one line for the beginning or the early end of a quarantine.
func LogQuarantine(l *zap.Logger, c poison.Change) {
	fields := []zap.Field{zap.Stringer("fingerprint", c.Fingerprint)}
	if c.Part != "" {
		fields = append(fields, zap.String("part", c.Part), zap.String("customer", c.Customer))
	}
	if c.Released {
		Info(l, EventQuarantineLifted, fields...)
		return
	}
	Warn(l, EventQuarantined, append(fields, zap.Duration("left", c.Duration), zap.Int("quarantines", c.Quarantines),
		zap.Strings("endpoints", c.Endpoints), zap.Strings("peers", c.Peers), zap.Bool("local", c.Local))...)
}
