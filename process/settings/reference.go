package settings

const referenceIntro = `# Settings

One entry reads its settings from one TOML file, named by ` + "`-config`" + `. Keys below with
a dot stand in a table: ` + "`listen.peers` is the key `peers` of `[listen]`" + `. Durations are
strings such as ` + "`\"500ms\"` or `\"6h\"`" + `. Unknown keys are faults; all faults are reported
at once. This page is checked against the code by a test; write it anew with
` + "`go test ./process/settings -run TestReference -update`" + `.

Listeners are kept apart, so that callers can't reach what peers and operators
use. Each needs its own address; port 0 lets the kernel choose.

`

// Reference returns the reference page of the settings, in Markdown.
func Reference() string {
	return referenceIntro + spec.Markdown()
}
