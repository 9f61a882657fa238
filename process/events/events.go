// Package events is the catalogue of numbered log events and the logger that
// writes them.
//
// Every line that the product logs is one Event of Catalogue, with a stable number,
// a level, fixed field names and the recommended operator action. docs/EVENTS.md is
// generated from Catalogue, and a test checks that the two are equal.
package events

import (
	"fmt"
	"io"
	"strings"

	"github.com/sirupsen/logrus"
)

// Event is one numbered kind of log line.
type Event struct {
	// Number never changes once released; it is printed as KCL-nnnn.
	Number int
	Level  logrus.Level
	// Message describes what happened.
	Message string
	// Fields are the names of the fields on every line of this event.
	Fields []string
	// Action is the recommended operator action.
	Action string
}

// ID returns the printed number.
func (e *Event) ID() string { return fmt.Sprintf("KCL-%04d", e.Number) }

// Logger writes events as JSON lines.
type Logger struct {
	log    *logrus.Logger
	fields logrus.Fields
}

// timeFormat has milliseconds, so that lines of several entries can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w and adds the instance to every line.
func New(w io.Writer, instance string) *Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{log: log, fields: logrus.Fields{"instance": instance}}
}

// Log writes one event. The values are in the order of e.Fields; a missing value is
// written as null, so that every line has all fields of its event.
func (l *Logger) Log(e *Event, values ...any) {
	fields := make(logrus.Fields, len(e.Fields)+2)
	for name, value := range l.fields {
		fields[name] = value
	}
	fields["event"] = e.ID()
	for i, name := range e.Fields {
		if i < len(values) {
			fields[name] = printable(values[i])
		} else {
			fields[name] = nil
		}
	}
	l.log.WithFields(fields).Log(e.Level, e.Message)
}

// printable replaces an error by its message, since errors have no JSON form.
func printable(value any) any {
	if err, ok := value.(error); ok {
		return err.Error()
	}
	return value
}

// Markdown returns Catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line is a JSON object with `event`, `level`, `time`, `instance`, `msg` and the fields below.\n")
	b.WriteString("This page is checked against the catalogue in `process/events` by a test.\n\n")
	b.WriteString("| event | level | message | fields | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", e.ID(), e.Level, e.Message, strings.Join(e.Fields, ", "), e.Action)
	}
	return b.String()
}
