package records

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validRecords has each kind of record, with every field.
const validRecords = `schema = 2
[[team]]
name = "stoke"
share = 3
queue_limit = 100
limit.running = 10
limit.milli_cpu = 10
limit.memory_mb = 10
limit.accelerators = 10
limit.slots = 10
[[team.objective]]
kind = "quote"
waiting = "1s"
target = 0.9
[[key]]
id = "stoke-1"
team = "stoke"
sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
[[kind]]
name = "quote"
policy = "request"
upstream = "bookings"
idempotent = true
urgent = true
deadline = "5s"
attempts = 2
teams = ["stoke"]
amount.slots = 1
[[kind]]
name = "pack"
policy = "batch"
run_time = "10s"
max_tasks = 4
amount.milli_cpu = 500
amount.memory_mb = 100
amount.accelerators = 1
[[upstream]]
name = "bookings"
retry_budget = 0.2
`

// faultsOf returns the error of parsing and compiling the valid records with the first line
// of a key in a table replaced. An empty text leaves the line out.
func faultsOf(t *testing.T, table, key, text string) error {
	t.Helper()
	lines := strings.Split(validRecords, "\n")
	current := ""
	for i, line := range lines {
		if strings.HasPrefix(line, "[[") {
			current = strings.Trim(line, "[]")
		}
		if current != table || !strings.HasPrefix(line, key+" ") {
			continue
		}
		lines[i] = text
		r, err := Parse("f.toml", []byte(strings.Join(lines, "\n")))
		if err == nil {
			_, err = Compile(r, 1)
		}
		return err
	}
	t.Fatalf("no key %s in table %q", key, table)
	return nil
}

// A bad value that is accepted changes what a team may use without a word; one that is
// refused without its record and key leaves the operator to search the files of all teams.
func TestBadValueNamesRecordAndField(t *testing.T) {
	const (
		team      = `team "stoke"`
		objective = `team "stoke", objective "quote"`
		request   = `kind "quote"`
		batch     = `kind "pack"`
	)
	names := []string{"", `""`, `3`, `"Stoke"`, `"a b"`, `"-a"`, `"a/b"`, `[]`, `"` + strings.Repeat("a", 64) + `"`}
	amounts := []string{`-1`, `1.5`, `"4"`, `nan`, `99999999999999`, `[]`}
	for _, c := range []struct {
		table, key, record string
		values             []string // each in TOML; an empty one leaves the key out
	}{
		{"", "schema", "", []string{"", `0`, `3`, `-1`, `"2"`, `2.0`}},
		{"team", "name", "", names},
		{"team", "share", team, []string{"", `0`, `-3`, `1.5`, `"3"`, `1000001`, `inf`}},
		{"team", "queue_limit", team, []string{`0`, `-1`, `100001`, `"100"`, `0.5`}},
		{"team", "limit.running", team, amounts},
		{"team", "limit.milli_cpu", team, amounts},
		{"team", "limit.memory_mb", team, amounts},
		{"team", "limit.accelerators", team, amounts},
		{"team", "limit.slots", team, amounts},
		{"team.objective", "kind", "", []string{`3`, `"none"`, `"No Kind"`}},
		{"team.objective", "waiting", objective, []string{"", `"0s"`, `"-1s"`, `"1"`, `1`, `"200h"`, `"99999999h"`}},
		{"team.objective", "target", objective, []string{"", `0`, `-0.9`, `0.4`, `1`, `nan`, `"0.9"`}},
		{"key", "id", "", names},
		{"key", "team", `key "stoke-1"`, []string{"", `""`, `"none"`, `4`, `"Stoke"`}},
		{"key", "sha256", `key "stoke-1"`, []string{"", `""`, `"00"`, `5`, `"` + strings.Repeat("G", 64) + `"`}},
		{"kind", "name", "", names},
		{"kind", "policy", request, []string{"", `""`, `"sometimes"`, `1`}},
		{"kind", "upstream", request, []string{"", `""`, `"none"`, `"No Name"`, `1`}},
		{"kind", "idempotent", request, []string{`1`, `"yes"`}},
		{"kind", "urgent", request, []string{`1`, `"yes"`}},
		{"kind", "deadline", request, []string{"", `"0s"`, `"-1s"`, `5`, `"soon"`, `"1us"`, `"48h"`}},
		{"kind", "attempts", request, []string{`-1`, `101`, `1.5`, `"2"`}},
		{"kind", "teams", request, []string{`[]`, `["none"]`, `["stoke", "stoke"]`, `["Stoke"]`, `[""]`, `[1]`, `"stoke"`}},
		{"kind", "amount.slots", request, []string{`-1`, `65`, `1.5`, `"1"`}},
		{"kind", "run_time", batch, []string{"", `"0s"`, `"-1s"`, `10`, `"1ms"`, `"9999h"`}},
		{"kind", "max_tasks", batch, []string{`-1`, `100001`, `"4"`, `0.5`}},
		{"kind", "amount.milli_cpu", batch, []string{"", `0`, `-1`, `1000001`, `"500"`}},
		{"kind", "amount.memory_mb", batch, []string{"", `0`, `-1`, `16000001`, `"100"`}},
		{"kind", "amount.accelerators", batch, []string{`-1`, `65`, `0.5`, `"1"`}},
		{"upstream", "name", "", names},
		{"upstream", "retry_budget", `upstream "bookings"`, []string{`-0.1`, `1.1`, `nan`, `"0.2"`}},
	} {
		for _, value := range c.values {
			line := ""
			if value != "" {
				line = c.key + " = " + value
			}
			err := faultsOf(t, c.table, c.key, line)
			if err == nil {
				t.Errorf("%s: %s = %s is accepted", c.table, c.key, value)
				continue
			}
			want := c.key + ": "
			if c.record != "" {
				want = c.record + ": " + want
			}
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %s = %s: %s\nwant %s", c.table, c.key, value, err, want)
			}
		}
	}
}

// A record that isn't a list of tables, a key given twice and an unknown one are named too.
func TestMalformedRecordsAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		"schema = 2\nteam = 4\n":                             "f.toml: team: must be an array of tables: [[team]]",
		"schema = 2\n[team]\nname = \"a\"\n":                 "f.toml: team: must be an array of tables: [[team]]",
		"schema = 2\nteam = [4]\n":                           "f.toml: team: must be an array of tables: [[team]]",
		"schema = 2\nteams = []\n":                           "f.toml: teams: is not a known key",
		"schema = 2\n[[team]]\nname = \"a\"\nlimit = 4\n":    `f.toml: team "a": limit: must be a table`,
		"schema = 2\n[[kind]]\nname = \"a\"\nname = \"b\"\n": "f.toml: line 4, column 1: toml: key name is already defined, at key name",
		"schema = 2\n[[kind]]\nattempts = 99999999999999999999\n": "f.toml: line 3, column 12: toml: decimal number is too large " +
			"to fit in a 64-bit signed integer, at key attempts",
	} {
		_, err := Parse("f.toml", []byte(text))
		assert.ErrorContains(t, err, want)
	}
	_, err := Parse("f.toml", nil)
	assert.Error(t, err, "f.toml: schema: must be 1 or 2")
}

// A stored configuration has to stay readable, although Parse refuses it now.
func TestDecodeAcceptsTeamsNamedTwice(t *testing.T) {
	stored := strings.Replace(validRecords, `teams = ["stoke"]`, `teams = ["stoke", "stoke"]`, 1)
	_, err := Parse("f.toml", []byte(stored))
	assert.Error(t, err, `f.toml: kind "quote": teams: names "stoke" twice`)
	r, err := Decode([]byte(stored))
	assert.NilError(t, err)
	_, err = Compile(r, 1)
	assert.NilError(t, err)
}
