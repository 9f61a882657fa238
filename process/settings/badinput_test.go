package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// withLine returns the example's settings with the line of a key replaced, or added to the
// table if the example has none. An empty text leaves the key out.
func withLine(t *testing.T, table, key, text string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "entry.toml"))
	assert.NilError(t, err)
	lines := strings.Split(string(data), "\n")
	start := 0
	if table != "" {
		for start = range lines {
			if lines[start] == "["+table+"]" {
				start++
				break
			}
		}
		if lines[start-1] != "["+table+"]" {
			return string(data) + "\n[" + table + "]\n" + text + "\n"
		}
	}
	for i := start; i < len(lines) && !strings.HasPrefix(lines[i], "["); i++ {
		if strings.HasPrefix(lines[i], key+" ") {
			lines[i] = text
			return strings.Join(lines, "\n")
		}
	}
	return strings.Join(append(append(append([]string{}, lines[:start]...), text), lines[start:]...), "\n")
}

// A value that is accepted although it can't work ends in an entry that no one reaches or in
// leases that never end; one that is refused without its key leaves the reader to guess.
func TestBadValueNamesItsField(t *testing.T) {
	names := []string{"", `""`, `3`, `"Entry 1"`, `"-a"`, `[]`}
	listeners := []string{"", `""`, `7400`, `"localhost:7400"`, `"10.0.0.1"`, `"10.0.0.1:70000"`, `"10.0.0.1:-1"`, `":7400"`}
	advertised := []string{`7400`, `"localhost:7400"`, `"0.0.0.0:7400"`, `"10.0.0.1:0"`, `"10.0.0.1"`}
	for _, c := range []struct {
		table, key string
		values     []string // each in TOML; an empty one leaves the key out
	}{
		{"", "instance", names},
		{"", "region", names},
		{"", "failure_domain", names},
		{"", "operator_key_sha256", []string{"", `""`, `"secret"`, `5`, `"` + strings.Repeat("A", 64) + `"`}},
		{"", "block", []string{`"row"`, `1`, `"Worker"`}},
		{"", "speed", []string{`1`}},
		{"listen", "callers", listeners},
		{"listen", "operators", listeners},
		{"listen", "peers", listeners},
		{"listen", "metrics", listeners},
		{"listen", "speed", []string{`1`}},
		{"advertise", "callers", advertised},
		{"advertise", "peers", advertised},
		{"platform", "url", []string{"", `""`, `"10.0.0.2:7000"`, `"ftp://10.0.0.2"`, `"http://platform"`, `"http://"`, `"http://10.0.0.2:x"`, `7`}},
		{"platform", "timeout", []string{`"0s"`, `"-1s"`, `"1ms"`, `"2h"`, `2`, `"2"`}},
		{"timings", "heartbeat", []string{`"0s"`, `"-1s"`, `"10ms"`, `"1m"`, `1`, `"soon"`}},
		{"timings", "quick_term", []string{`"0s"`, `"-1s"`, `"1h"`, `5`, `"2s"`}},
		{"timings", "long_term", []string{`"0s"`, `"-1s"`, `"1s"`, `"999h"`, `6`}},
		{"timings", "task_lease", []string{`"0s"`, `"-1s"`, `"1h"`, `30`, `"5s"`}},
		{"timings", "poll", []string{`"0s"`, `"-1s"`, `"5s"`, `1`}},
		{"timings", "drain_timeout", []string{`"-1s"`, `"2h"`, `60`, `"999999999h"`}},
		{"limits", "max_body_bytes", []string{`0`, `-1`, `67108865`, `1.5`, `"1"`}},
		{"limits", "max_queue", []string{`0`, `-1`, `1000001`, `"1"`, `nan`}},
		{"limits", "max_header_bytes", []string{`0`, `-1`, `1`, `1048577`, `true`}},
		{"limits", "read_header_timeout", []string{`"0s"`, `"-1s"`, `"2m"`, `5`}},
	} {
		field := strings.TrimPrefix(c.table+"."+c.key, ".")
		for _, value := range c.values {
			line := ""
			if value != "" {
				line = c.key + " = " + value
			}
			_, err := Parse("entry.toml", []byte(withLine(t, c.table, c.key, line)))
			if err == nil {
				t.Errorf("%s = %s is accepted", field, value)
				continue
			}
			if !strings.Contains(err.Error(), "entry.toml: "+field+": ") {
				t.Errorf("%s = %s: %s", field, value, err)
			}
		}
	}
}

// Two listeners on one address, a key given twice and a value in the place of a table are
// named too.
func TestMalformedSettingsAreNamed(t *testing.T) {
	for _, c := range []struct{ table, key, text, want string }{
		{"listen", "peers", `peers = "127.0.0.1:7400"`, "must differ from listen."},
		{"", "region", "region = \"a\"\nregion = \"b\"", "toml: key region is already defined, at key region"},
		{"", "block", "advertise = 4", "entry.toml: advertise: must be a table"},
		{"limits", "max_queue", "max_queue = 99999999999999999999", "at key max_queue"},
	} {
		_, err := Parse("entry.toml", []byte(withLine(t, c.table, c.key, c.text)))
		assert.ErrorContains(t, err, c.want)
	}
}
