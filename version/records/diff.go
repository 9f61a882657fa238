package records

import (
	"fmt"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Op is the operation of a Change.
type Op string

// The operations of changes.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference between two Records.
type Change struct {
	Op Op
	// Record is the kind and name of the record, such as `team "stoke"`.
	Record string
	// Field is the dotted key that changed, with its Old and New values. All three are empty
	// unless Op is Changed.
	Field    string
	Old, New string
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Op == Changed {
		return fmt.Sprintf("%s %s: %s from %s to %s", c.Op, c.Record, c.Field, c.Old, c.New)
	}
	return fmt.Sprintf("%s %s", c.Op, c.Record)
}

// Diff returns the changes from before to after: those of upstreams, teams, keys and kinds,
// each sorted by name. It ignores the order of records and their files.
func Diff(before, after *Records) []Change {
	a, b := before.canonical(), after.canonical()
	var out []Change
	out = append(out, diffAll(upstreamSpec, a.Upstreams, b.Upstreams, nil)...)
	out = append(out, diffAll(teamSpec, a.Teams, b.Teams, diffObjectives)...)
	out = append(out, diffAll(keySpec, a.Keys, b.Keys, nil)...)
	return append(out, diffAll(kindSpec, a.Kinds, b.Kinds, nil)...)
}

// diffAll returns the changes between two lists of records. If extra is not nil, it returns
// the changes of fields that the spec does not cover.
func diffAll[T record](spec *tomlcheck.Spec[T], before, after []T, extra func(label string, a, b T) []Change) []Change {
	old := map[string]T{}
	for _, r := range before {
		old[r.label()] = r
	}
	var out []Change
	for _, r := range after {
		prev, ok := old[r.label()]
		if !ok {
			out = append(out, Change{Op: Added, Record: r.label()})
			continue
		}
		delete(old, r.label())
		for _, d := range spec.Diff(&prev, &r) {
			out = append(out, Change{Op: Changed, Record: r.label(), Field: d.Field, Old: d.Old, New: d.New})
		}
		if extra != nil {
			out = append(out, extra(r.label(), prev, r)...)
		}
	}
	for _, r := range before {
		if _, removed := old[r.label()]; removed {
			out = append(out, Change{Op: Removed, Record: r.label()})
		}
	}
	return out
}

func diffObjectives(label string, a, b Team) []Change {
	if slices.Equal(a.Objectives, b.Objectives) {
		return nil
	}
	return []Change{{
		Op: Changed, Record: label, Field: objectiveSpec.Name,
		Old: objectivesText(a.Objectives), New: objectivesText(b.Objectives),
	}}
}

func objectivesText(list []version.Objective) string {
	text := "["
	for i, o := range list {
		if i > 0 {
			text += ", "
		}
		kind := o.Kind
		if kind == "" {
			kind = "all kinds"
		}
		text += fmt.Sprintf("%s within %s for %g", kind, o.Waiting, o.Target)
	}
	return text + "]"
}
