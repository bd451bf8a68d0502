// Package logs writes a process's log: JSON lines on the standard error, one
// vocabulary of events, and a bounded number of lines a second.
package logs

import (
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the log's rate. A burst that refuses 10,000 requests a second would
// otherwise spend the processor on its own log.
const (
	// perSecond is how many lines of one event and level are written in full.
	perSecond = 100
	// oneIn is what share of the rest is written.
	oneIn = 100
)

// New returns a logger of a process that writes to the standard error.
func New(level, name string) *zap.Logger { return NewTo(os.Stderr, level, name) }

// NewTo is New with another writer. An unknown level counts as info; the
// settings are checked with Level before.
func NewTo(w io.Writer, level, name string) *zap.Logger {
	l, err := Level(level)
	if err != nil {
		l = zapcore.InfoLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.Lock(zapcore.AddSync(w)), l)
	bounded := zapcore.NewSamplerWithOptions(core, time.Second, perSecond, oneIn)
	return zap.New(bounded).With(zap.String("process", name))
}

// Level reads a level from the settings.
func Level(text string) (zapcore.Level, error) {
	switch text {
	case "debug":
		return zapcore.DebugLevel, nil
	case "", "info":
		return zapcore.InfoLevel, nil
	case "warn":
		return zapcore.WarnLevel, nil
	case "error":
		return zapcore.ErrorLevel, nil
	}
	return 0, fmt.Errorf("logs: unknown level %q: write debug, info, warn or error", text)
}

func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: keyEvent, NameKey: "logger",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, LineEnding: zapcore.DefaultLineEnding,
	}
}
