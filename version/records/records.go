// Package records reads, checks, compares and compiles the operators' records:
// TOML files that declare teams, keys, kinds of work and upstreams.
//
// Each file declares a schema version, and files of both schemas may stand side
// by side. Schema 2 is the current one. Schema 1 gives durations as integers
// under KEY_seconds and has no urgent, objective, retry_budget and
// amount.accelerators: it is read as if each had its default. Parsed records no
// longer tell which schema they came from.
//
// The path of a change is Parse for each file, Merge, Compile. Each reports
// every fault at once, as Faults that name file, record, field and reason. The
// canonical form that is stored is what Encode returns.
package records

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Schema versions of record files.
const (
	Schema1 = 1
	Schema2 = 2
)

// Fault is one thing that is wrong with a record.
type Fault = tomlcheck.Fault

// Faults is the error of Parse, Merge and Compile: every fault found.
type Faults = tomlcheck.Faults

// Records is the whole or a part of the operators' records, whatever schema
// they were written in.
type Records struct {
	Teams     []Team
	Keys      []Key
	Kinds     []Kind
	Upstreams []Upstream
}

// Team is a customer with a share and an upper limit.
type Team struct {
	Name  string
	Share int64
	// Limit holds version.NoLimit in dimensions without limit.
	Limit      resource.Amount
	QueueLimit int
	Objectives []version.Objective
	// File is where the record was read; Encode leaves it out.
	File string
}

// Key lets its holder act for a team.
type Key struct {
	ID   string
	Team string
	// SHA256 is the HashKey of the key.
	SHA256 string
	// File is where the record was read; Encode leaves it out.
	File string
}

// Kind is a kind of work. What a policy doesn't use is zero.
type Kind struct {
	Name       string
	Policy     string
	Upstream   string
	Idempotent bool
	Urgent     bool
	Deadline   time.Duration
	Amount     resource.Amount
	RunTime    time.Duration
	MaxTasks   int
	Attempts   int
	Teams      []string
	// File is where the record was read; Encode leaves it out.
	File string
}

// Upstream is a named service that answers requests.
type Upstream struct {
	Name        string
	RetryBudget float64
	// File is where the record was read; Encode leaves it out.
	File string
}

// HashKey returns the hex SHA-256 of a key, which is all that is ever stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (t Team) label() string     { return fmt.Sprintf("team %q", t.Name) }
func (k Key) label() string      { return fmt.Sprintf("key %q", k.ID) }
func (k Kind) label() string     { return fmt.Sprintf("kind %q", k.Name) }
func (u Upstream) label() string { return fmt.Sprintf("upstream %q", u.Name) }

func (t Team) file() string     { return t.File }
func (k Key) file() string      { return k.File }
func (k Kind) file() string     { return k.File }
func (u Upstream) file() string { return u.File }

// Clone returns a copy that shares nothing with r.
func (r *Records) Clone() *Records {
	out := &Records{
		Teams:     slices.Clone(r.Teams),
		Keys:      slices.Clone(r.Keys),
		Kinds:     slices.Clone(r.Kinds),
		Upstreams: slices.Clone(r.Upstreams),
	}
	for i := range out.Teams {
		out.Teams[i].Objectives = slices.Clone(out.Teams[i].Objectives)
	}
	for i := range out.Kinds {
		out.Kinds[i].Teams = slices.Clone(out.Kinds[i].Teams)
	}
	return out
}

// canonical returns a copy in sorted order without file names.
func (r *Records) canonical() *Records {
	out := r.Clone()
	slices.SortStableFunc(out.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Keys, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(out.Kinds, func(a, b Kind) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for i := range out.Teams {
		out.Teams[i].File = ""
		objectives := out.Teams[i].Objectives
		slices.SortStableFunc(objectives, func(a, b version.Objective) int { return cmp.Compare(a.Kind, b.Kind) })
	}
	for i := range out.Keys {
		out.Keys[i].File = ""
	}
	for i := range out.Kinds {
		out.Kinds[i].File = ""
		slices.Sort(out.Kinds[i].Teams)
	}
	for i := range out.Upstreams {
		out.Upstreams[i].File = ""
	}
	return out
}

// Merge joins records read from several files. Records of the same name are
// faults that name both files.
func Merge(parts ...*Records) (*Records, error) {
	out := &Records{}
	for _, part := range parts {
		copied := part.Clone()
		out.Teams = append(out.Teams, copied.Teams...)
		out.Keys = append(out.Keys, copied.Keys...)
		out.Kinds = append(out.Kinds, copied.Kinds...)
		out.Upstreams = append(out.Upstreams, copied.Upstreams...)
	}
	faults := duplicates(out)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

type record interface {
	label() string
	file() string
}

func duplicates(r *Records) Faults {
	var faults Faults
	addDuplicates(&faults, r.Teams)
	addDuplicates(&faults, r.Keys)
	addDuplicates(&faults, r.Kinds)
	addDuplicates(&faults, r.Upstreams)
	byHash := map[string]Key{}
	for _, key := range r.Keys {
		if first, ok := byHash[key.SHA256]; ok && first.ID != key.ID {
			faults.Add(key.File, key.label(), "sha256", "is also that of %s%s", first.label(), inFile(first.File))
			continue
		}
		byHash[key.SHA256] = key
	}
	return faults
}

func addDuplicates[R record](faults *Faults, list []R) {
	first := map[string]string{}
	for _, r := range list {
		file, ok := first[r.label()]
		if ok {
			faults.Add(r.file(), r.label(), "", "is declared already%s", inFile(file))
			continue
		}
		first[r.label()] = r.file()
	}
}

func inFile(file string) string {
	if file == "" {
		return ""
	}
	return " in " + file
}
