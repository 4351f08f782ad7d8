package logs

import (
	"io"
	"log/slog"
)

// keys maps the built-in keys of slog to Pascal case.
var keys = map[string]string{
	slog.TimeKey:    "Time",
	slog.LevelKey:   "Level",
	slog.MessageKey: "Message",
	slog.SourceKey:  "Source",
}

// New returns a logger that writes records of the given level and above to out as JSON lines.
func New(out io.Writer, lvl slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{
		Level: lvl,
		ReplaceAttr: func(gps []string, att slog.Attr) slog.Attr {
			if nam, fnd := keys[att.Key]; fnd && len(gps) == 0 {
				att.Key = nam
			}
			return att
		},
	}))
}
