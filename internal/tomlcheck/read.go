package tomlcheck

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// maxSeconds bounds integer seconds so that they fit in a time.Duration.
const maxSeconds = 1 << 32

// secondsSuffix is the end of the key of a duration in integer seconds.
const secondsSuffix = "_seconds"

// Reader collects the faults of one file while its tables are read.
type Reader struct {
	File string
	// Schema is the schema version that the file declares. Keys of later schemas
	// are faults.
	Schema int
	// IntegerSeconds is set if durations are integers under KEY_seconds instead
	// of strings such as "30s" under KEY.
	IntegerSeconds bool
	Faults         Faults
}

// Parse decodes the file. On a syntax error it adds a fault with the position and
// returns ok false.
func (r *Reader) Parse(data []byte) (root map[string]any, ok bool) {
	err := toml.Unmarshal(data, &root)
	if err == nil {
		return root, true
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, column := decode.Position()
		r.Faults.Add(r.File, "", "", "line %d, column %d: %s%s", line, column, decode.Error(), atKey(data, line))
		return nil, false
	}
	r.Faults.Add(r.File, "", "", "%s", err)
	return nil, false
}

// atKey names the key on a line of the file, counted from 1, if there is one. The value is
// left out, since it may be long.
func atKey(data []byte, line int) string {
	lines := bytes.Split(data, []byte("\n"))
	if line < 1 || line > len(lines) {
		return ""
	}
	key, _, found := bytes.Cut(lines[line-1], []byte("="))
	if key = bytes.TrimSpace(key); !found || len(key) == 0 {
		return ""
	}
	return fmt.Sprintf(", at key %s", key)
}

// Tables returns the array of tables under key. Any other value adds a fault.
func (r *Reader) Tables(root map[string]any, record, key string) []map[string]any {
	value, ok := root[key]
	if !ok {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		r.Faults.Add(r.File, record, key, "must be an array of tables: [[%s]]", key)
		return nil
	}
	tables := make([]map[string]any, 0, len(list))
	for _, element := range list {
		table, ok := element.(map[string]any)
		if !ok {
			r.Faults.Add(r.File, record, key, "must be an array of tables: [[%s]]", key)
			continue
		}
		tables = append(tables, table)
	}
	return tables
}

// Unknown adds a fault for every key of the table that is not in known.
func (r *Reader) Unknown(record string, table map[string]any, known ...string) {
	isKnown := map[string]bool{}
	for _, key := range known {
		isKnown[key] = true
	}
	for _, key := range sortedKeys(table) {
		if !isKnown[key] {
			r.Faults.Add(r.File, record, key, "is not a known key")
		}
	}
}

// Read reads one table into a T, starting from the defaults, and checks it. Faults are
// added to r.
func (s *Spec[T]) Read(r *Reader, record string, table map[string]any) T {
	v := s.Defaults
	flat := map[string]any{}
	s.flatten(flat, "", table)
	faulty := map[string]bool{}
	for _, field := range s.Fields {
		key := field.Key
		at := field.At(&v)
		_, isDuration := at.(*time.Duration)
		if isDuration && r.IntegerSeconds {
			key += secondsSuffix
		}
		value, ok := flat[key]
		if !ok {
			continue
		}
		if field.Since > r.Schema {
			continue
		}
		delete(flat, key)
		if err := assign(at, value, r.IntegerSeconds); err != nil {
			faulty[field.Key] = true
			r.Faults.Add(r.File, record, key, "%s", err)
		}
	}
	s.otherFields(r, record, flat)
	s.Check(&r.Faults, r.File, record, &v, faulty)
	return v
}

// laterKeys returns the keys that schemas later than the given one add, with the first
// schema that has them.
func (s *Spec[T]) laterKeys(schema int) map[string]int {
	later := map[string]int{}
	for _, field := range s.Fields {
		if field.Since > schema {
			later[field.Key] = field.Since
		}
	}
	return later
}

// otherFields adds a fault for each key that belongs to no field of the file's schema.
func (s *Spec[T]) otherFields(r *Reader, record string, flat map[string]any) {
	later := s.laterKeys(r.Schema)
	for _, key := range sortedKeys(flat) {
		since, isLater := later[key]
		switch {
		case isLater:
			r.Faults.Add(r.File, record, key, "needs schema %d, the file has %d", since, r.Schema)
		case s.isGroup(key):
			r.Faults.Add(r.File, record, key, "must be a table")
		case !s.IgnoreUnknown:
			r.Faults.Add(r.File, record, key, "is not a known key")
		}
	}
}

// flatten turns inner tables into dotted keys and leaves out the children.
func (s *Spec[T]) flatten(flat map[string]any, prefix string, table map[string]any) {
	for key, value := range table {
		full := prefix + key
		if strings.Contains(key, ".") {
			full = prefix + strconv.Quote(key)
		}
		if s.isChild(full) {
			continue
		}
		if inner, ok := value.(map[string]any); ok && s.isGroup(full) {
			s.flatten(flat, full+".", inner)
			continue
		}
		flat[full] = value
	}
}

// isGroup reports whether key is the prefix of a declared dotted key.
func (s *Spec[T]) isGroup(key string) bool {
	for _, field := range s.Fields {
		if strings.HasPrefix(field.Key, key+".") {
			return true
		}
	}
	return false
}

func (s *Spec[T]) isChild(key string) bool {
	for _, child := range s.Children {
		if child == key {
			return true
		}
	}
	return false
}

func sortedKeys(table map[string]any) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// assign stores a decoded TOML value at the pointer. The error is the reason of a fault.
func assign(target, value any, integerSeconds bool) error {
	switch p := target.(type) {
	case *string:
		return assignAs(p, value, "a string")
	case *bool:
		return assignAs(p, value, "true or false")
	case *int64:
		return assignAs(p, value, "an integer")
	case *int:
		var n int64
		err := assignAs(&n, value, "an integer")
		*p = int(n)
		return err
	case *float64:
		if n, ok := value.(int64); ok {
			*p = float64(n)
			return nil
		}
		return assignAs(p, value, "a number")
	case *[]string:
		return assignList(p, value, func(v string) string { return v }, "a list of strings")
	case *[]int:
		return assignList(p, value, func(v int64) int { return int(v) }, "a list of integers")
	case *time.Duration:
		return assignDuration(p, value, integerSeconds)
	}
	return fmt.Errorf("has no reader for %T", target)
}

func assignAs[V any](p *V, value any, want string) error {
	v, ok := value.(V)
	if !ok {
		return fmt.Errorf("must be %s", want)
	}
	*p = v
	return nil
}

// assignList stores a list, whose elements TOML decodes as V. want names the type. An empty
// list is an error: it would read as the default, which may be the opposite of none.
func assignList[V, E any](p *[]E, value any, convert func(V) E, want string) error {
	list, ok := value.([]any)
	if !ok {
		return fmt.Errorf("must be %s", want)
	}
	if len(list) == 0 {
		return errors.New("must not be empty")
	}
	var out []E
	for _, element := range list {
		v, ok := element.(V)
		if !ok {
			return fmt.Errorf("must be %s", want)
		}
		out = append(out, convert(v))
	}
	*p = out
	return nil
}

func assignDuration(p *time.Duration, value any, integerSeconds bool) error {
	if integerSeconds {
		n, ok := value.(int64)
		if !ok || n < 0 || n > maxSeconds {
			return errors.New("must be whole seconds, not below 0")
		}
		*p = time.Duration(n) * time.Second
		return nil
	}
	text, ok := value.(string)
	if !ok {
		return errors.New(`must be a duration string such as "30s"`)
	}
	d, err := time.ParseDuration(strings.TrimSpace(text))
	if err != nil {
		return errors.New(`must be a duration string such as "30s"`)
	}
	*p = d
	return nil
}
