// Package records parses, checks, compares and compiles the operators' records: TOML files
// that declare teams, keys, kinds of work and upstreams.
//
// Each file declares its schema version, and files of both schemas can be applied together.
// Schema 2 is the current one. Schema 1 has durations as integers under KEY_seconds and
// lacks urgent, objective, retry_budget and amount.accelerators, which get their defaults.
// Parsed records do not depend on the schema that they were written in.
//
// A change goes through Parse for each file, Merge and Compile. Each step reports all
// faults at once, as Faults with the file, record, field and reason of each. The records
// are stored in the canonical form that Encode returns.
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

// Fault is an error in a record.
type Fault = tomlcheck.Fault

// Faults is the error of Parse, Merge and Compile. It lists all faults found.
type Faults = tomlcheck.Faults

// Records holds the operators' records, or a part of them.
type Records struct {
	Teams     []Team
	Keys      []Key
	Kinds     []Kind
	Upstreams []Upstream
}

// Team is a client account with a share of the fleet and an upper limit.
type Team struct {
	Name  string
	Share int64
	// Limit is version.NoLimit in dimensions without a limit.
	Limit      resource.Amount
	QueueLimit int
	Objectives []version.Objective
	// File is the name of the file that declares the record. Encode omits it.
	File string
}

// Key authorizes its holder to act for a team.
type Key struct {
	ID   string
	Team string
	// SHA256 is what HashKey returns for the key.
	SHA256 string
	// File is the name of the file that declares the record. Encode omits it.
	File string
}

// Kind is a kind of work. Fields that its policy does not use are zero.
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
	// File is the name of the file that declares the record. Encode omits it.
	File string
}

// Upstream is a named service that answers requests.
type Upstream struct {
	Name        string
	RetryBudget float64
	// File is the name of the file that declares the record. Encode omits it.
	File string
}

// HashKey returns the hexadecimal SHA-256 of a key. Only the hash is stored.
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

// Clone returns a deep copy of r.
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

// canonical returns a sorted copy without file names.
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

// Merge combines the records of several files. A record declared twice is a fault that
// names both files.
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

// record is implemented by all types of records.
type record interface {
	label() string
	file() string
}

// duplicates returns a fault for each record declared twice and each key hash used twice.
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
