// Package logs writes a process's log as JSON lines to standard error. All processes
// share one set of events, and the number of lines a second is bounded.
package logs

import (
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the log's rate. Without them, a burst of 10,000 refused requests a second
// would spend much of the processor time on logging.
const (
	// linesPerSecond is the number of lines of one event and level that are written
	// in full each second.
	linesPerSecond = 100
	// sampleEvery is the sampling beyond linesPerSecond: one of sampleEvery lines is
	// written.
	sampleEvery = 100
)

// New returns the logger of a process that writes to standard error.
func New(level, name string) *zap.Logger { return NewTo(os.Stderr, level, name) }

// NewTo returns a logger that writes to w. An unknown level counts as info; the
// settings are checked with Level before.
func NewTo(w io.Writer, level, name string) *zap.Logger {
	l, err := Level(level)
	if err != nil {
		l = zapcore.InfoLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.Lock(zapcore.AddSync(w)), l)
	bounded := zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampleEvery)
	return zap.New(bounded).With(zap.String("process", name))
}

// Level parses a log level. Empty text means info.
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

// encoding returns the format of the lines.
func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: keyEvent, NameKey: "logger",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, LineEnding: zapcore.DefaultLineEnding,
	}
}
