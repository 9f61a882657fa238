package records

import "strings"

const referenceIntro = `# Records

Operators declare teams, keys, kinds of work and upstreams in TOML files kept in
version control. All files of one directory are applied together, as one change.
This page is checked against the code by a test; write it anew with
` + "`go test ./version/records -run TestReference -update`" + `.

Each file starts with ` + "`schema = 1` or `schema = 2`" + `. Files of both schemas may stand
side by side, and a record may name records of the other files.

**What schema 2 adds.** Durations are strings such as ` + "`\"30s\"` or `\"6h\"`" + `. New keys:
` + "`urgent`, `amount.accelerators`, `retry_budget` and `[[team.objective]]`" + `.

**How schema 1 is read.** Durations are whole seconds under the key with
` + "`_seconds`" + ` appended: ` + "`deadline_seconds`, `run_time_seconds`" + `. The keys that schema 2 adds
are refused, and each reads as its default: not urgent, no accelerators, no
objective, the default retry budget. The configuration is stored in schema 2.

A dimension that ` + "`limit`" + ` leaves out has no limit. Every task and every request
counts as 1 running; a request takes at least 1 slot.
`

// Reference returns the reference page of the record files, in Markdown.
func Reference() string {
	sections := []string{
		referenceIntro,
		"## `[[team]]`\n\n" + teamSpec.Markdown(),
		"## `[[team.objective]]`\n\nAt most one for each kind, and one for all kinds.\n\n" + objectiveSpec.Markdown(),
		"## `[[key]]`\n\nOnly the hash of a key is stored.\n\n" + keySpec.Markdown(),
		"## `[[kind]]`\n\n" + kindSpec.Markdown(),
		"## `[[upstream]]`\n\n" + upstreamSpec.Markdown(),
	}
	return strings.Join(sections, "\n")
}
