package records

import (
	"bytes"
	"fmt"

	"github.com/kingcuplatch/kingcuplatch/internal/tomlcheck"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes is the maximum size of a record file.
const MaxFileBytes = 4 << 20

// Parse reads a file of either schema. The error is Faults, which lists all faults of the
// file. References to records, which other files may declare, are checked by Compile.
func Parse(file string, data []byte) (*Records, error) {
	return parse(file, data, repeatedTeams)
}

// parse reads a file. check returns faults of the records besides those of their fields.
func parse(file string, data []byte, check func(*Records) Faults) (*Records, error) {
	reader := &tomlcheck.Reader{File: file}
	if len(data) > MaxFileBytes {
		reader.Faults.Add(file, "", "", "has %d bytes, more than %d", len(data), MaxFileBytes)
		return nil, reader.Faults.Err()
	}
	root, ok := reader.Parse(data)
	if !ok || !readSchema(reader, root) {
		return nil, reader.Faults.Err()
	}
	reader.Unknown("", root, "schema", teamSpec.Name, keySpec.Name, kindSpec.Name, upstreamSpec.Name)
	out := &Records{
		Teams:     readTeams(reader, root),
		Keys:      readAll(reader, root, keySpec, "id", func(k *Key) { k.File = file }),
		Kinds:     readAll(reader, root, kindSpec, "name", func(k *Kind) { k.File = file }),
		Upstreams: readAll(reader, root, upstreamSpec, "name", func(u *Upstream) { u.File = file }),
	}
	reader.Faults = append(reader.Faults, duplicates(out)...)
	reader.Faults = append(reader.Faults, check(out)...)
	if err := reader.Faults.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// repeatedTeams returns a fault for each kind of work that names a team twice.
func repeatedTeams(r *Records) Faults {
	var faults Faults
	for _, kind := range r.Kinds {
		named := map[string]bool{}
		for _, team := range kind.Teams {
			if named[team] {
				faults.Add(kind.File, kind.label(), "teams", "names %q twice", team)
			}
			named[team] = true
		}
	}
	return faults
}

func readSchema(reader *tomlcheck.Reader, root map[string]any) bool {
	schema, ok := root["schema"].(int64)
	if !ok || schema < Schema1 || schema > Schema2 {
		reader.Faults.Add(reader.File, "", "schema", "must be %d or %d", Schema1, Schema2)
		return false
	}
	reader.Schema = int(schema)
	reader.IntegerSeconds = schema == Schema1
	return true
}

func readAll[T any](reader *tomlcheck.Reader, root map[string]any, spec *tomlcheck.Spec[T], nameKey string, setFile func(*T)) []T {
	var out []T
	for i, table := range reader.Tables(root, "", spec.Name) {
		v := spec.Read(reader, tableLabel(spec.Name, table[nameKey], i), table)
		setFile(&v)
		out = append(out, v)
	}
	return out
}

// tableLabel returns the label of a record in faults: its name, or its position in the file
// if it has none.
func tableLabel(kind string, name any, index int) string {
	if text, ok := name.(string); ok && text != "" {
		return fmt.Sprintf("%s %q", kind, text)
	}
	return fmt.Sprintf("%s %d of the file", kind, index+1)
}

func readTeams(reader *tomlcheck.Reader, root map[string]any) []Team {
	var out []Team
	for i, table := range reader.Tables(root, "", teamSpec.Name) {
		label := tableLabel(teamSpec.Name, table["name"], i)
		team := teamSpec.Read(reader, label, table)
		team.File = reader.File
		team.Objectives = readObjectives(reader, label, table)
		out = append(out, team)
	}
	return out
}

func readObjectives(reader *tomlcheck.Reader, team string, table map[string]any) []version.Objective {
	if _, ok := table["objective"]; ok && reader.Schema < Schema2 {
		reader.Faults.Add(reader.File, team, "objective", "needs schema %d, the file has %d", Schema2, reader.Schema)
		return nil
	}
	var out []version.Objective
	for i, inner := range reader.Tables(table, team, objectiveSpec.Name) {
		label := team + ", " + tableLabel(objectiveSpec.Name, inner["kind"], i)
		out = append(out, objectiveSpec.Read(reader, label, inner))
	}
	return out
}

// Encode returns the canonical encoding of the records: a schema 2 file, sorted and without
// default values. Equal records have equal encodings.
func Encode(r *Records) ([]byte, error) {
	sorted := r.canonical()
	root := map[string]any{"schema": Schema2}
	var teams []map[string]any
	for i := range sorted.Teams {
		teams = append(teams, encodeTeam(&sorted.Teams[i]))
	}
	putTables(root, teamSpec.Name, teams)
	putTables(root, keySpec.Name, encodeAll(keySpec, sorted.Keys))
	putTables(root, kindSpec.Name, encodeAll(kindSpec, sorted.Kinds))
	putTables(root, upstreamSpec.Name, encodeAll(upstreamSpec, sorted.Upstreams))
	var buffer bytes.Buffer
	if err := toml.NewEncoder(&buffer).Encode(root); err != nil {
		return nil, fmt.Errorf("encode records: %w", err)
	}
	return buffer.Bytes(), nil
}

func encodeTeam(team *Team) map[string]any {
	table := teamSpec.Encode(team)
	putTables(table, objectiveSpec.Name, encodeAll(objectiveSpec, team.Objectives))
	return table
}

func encodeAll[T any](spec *tomlcheck.Spec[T], list []T) []map[string]any {
	var tables []map[string]any
	for i := range list {
		tables = append(tables, spec.Encode(&list[i]))
	}
	return tables
}

func putTables(root map[string]any, key string, tables []map[string]any) {
	if len(tables) > 0 {
		root[key] = tables
	}
}

// Decode is the inverse of Encode. It accepts what an earlier release may have stored, which
// includes teams named twice.
func Decode(data []byte) (*Records, error) {
	return parse("", data, func(*Records) Faults { return nil })
}
