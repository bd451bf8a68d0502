package direct

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// limited takes in what an answer says of the endpoint's limit; d.mu is held.
func (v *visit) limited(m Meta) {
	if m.Limited == v.e.limited && m.Limit == v.e.limit {
		return
	}
	v.e.limited, v.e.limit = m.Limited, m.Limit
	logs.Info(v.d.cfg.Log, logs.EventLimitChanged, zap.String("endpoint", v.id), zap.Bool("limited", m.Limited), zap.Float64("limit", m.Limit), zap.Time("sent", v.sent))
}
