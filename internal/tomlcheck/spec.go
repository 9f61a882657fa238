package tomlcheck

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Field declares one key of a table that is read into a T.
type Field[T any] struct {
	// Key is the dotted key inside the table.
	Key string
	// At returns a pointer to the value inside T: *string, *bool, *int, *int64,
	// *float64, *time.Duration, *[]string or *[]int.
	At func(*T) any
	// Required makes a zero value a fault.
	Required bool
	// Min and Max bound a number, or a time.Duration in seconds, if Max is greater
	// than Min. The default value is always allowed.
	Min, Max float64
	// Check returns an error for an invalid non-default string, or element of a list.
	Check func(string) error
	// Since is the first schema version that has the key.
	Since int
	// Unit and Doc appear on the reference page.
	Unit, Doc string
	// DefaultText replaces the default value on the reference page.
	DefaultText string
}

// Spec declares one kind of table.
type Spec[T any] struct {
	// Name is the key of the table in the file.
	Name string
	// Defaults is the value of a table without keys.
	Defaults T
	Fields   []Field[T]
	// Children are keys that Read ignores, because the caller reads them.
	Children []string
	// IgnoreUnknown makes Read ignore keys that no field declares, for a file in which
	// another program has fields of its own.
	IgnoreUnknown bool
}

// Check adds a fault for every field of v that is missing or invalid, except for the
// keys in skip.
func (s *Spec[T]) Check(faults *Faults, file, record string, v *T, skip map[string]bool) {
	for _, field := range s.Fields {
		if skip[field.Key] {
			continue
		}
		if reason := s.problem(field, v); reason != "" {
			faults.Add(file, record, field.Key, "%s", reason)
		}
	}
}

// problem returns the reason why the field of v is invalid, and an empty string for a
// valid one.
func (s *Spec[T]) problem(field Field[T], v *T) string {
	value := field.value(v)
	if reflect.ValueOf(value).IsZero() && field.Required {
		if bounds := field.bounds(); bounds != "" {
			return "must be given, " + bounds
		}
		return "must be given"
	}
	if reflect.DeepEqual(value, field.value(&s.Defaults)) {
		return ""
	}
	switch x := value.(type) {
	case string:
		return checkStrings(field.Check, x)
	case []string:
		return checkStrings(field.Check, x...)
	case bool:
		return ""
	}
	if n := number(value); field.Max > field.Min && !(n >= field.Min && n <= field.Max) {
		return fmt.Sprintf("%s is not %s", format(value), field.bounds())
	}
	return ""
}

func checkStrings(check func(string) error, values ...string) string {
	if check == nil {
		return ""
	}
	for _, value := range values {
		if err := check(value); err != nil {
			return err.Error()
		}
	}
	return ""
}

// value returns the field's value in v.
func (f Field[T]) value(v *T) any {
	return reflect.ValueOf(f.At(v)).Elem().Interface()
}

func (f Field[T]) bounds() string {
	if f.Max <= f.Min {
		return ""
	}
	var zero T
	if _, ok := f.At(&zero).(*time.Duration); ok {
		return fmt.Sprintf("from %s to %s", format(seconds(f.Min)), format(seconds(f.Max)))
	}
	return fmt.Sprintf("from %.10g to %.13g", f.Min, f.Max)
}

func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

func number(value any) float64 {
	switch x := value.(type) {
	case int:
		return float64(x)
	case int64:
		return float64(x)
	case float64:
		return x
	case time.Duration:
		return x.Seconds()
	}
	return 0
}

// format returns the value as text for messages and the reference page.
func format(value any) string {
	switch x := value.(type) {
	case string:
		return fmt.Sprintf("%q", x)
	case []string:
		return fmt.Sprintf("%q", x)
	case time.Duration:
		return shortDuration(x)
	}
	return fmt.Sprint(value)
}

// shortDuration formats a duration without trailing zero parts: 6h, not 6h0m0s.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Encode returns v as a table with every field that differs from its default.
func (s *Spec[T]) Encode(v *T) map[string]any {
	table := map[string]any{}
	for _, field := range s.Fields {
		value := field.value(v)
		if reflect.DeepEqual(value, field.value(&s.Defaults)) {
			continue
		}
		if d, ok := value.(time.Duration); ok {
			value = shortDuration(d)
		}
		setPath(table, strings.Split(field.Key, "."), value)
	}
	return table
}

// setPath stores value under the path of keys and creates inner tables as needed.
func setPath(table map[string]any, path []string, value any) {
	if len(path) == 1 {
		table[path[0]] = value
		return
	}
	inner, ok := table[path[0]].(map[string]any)
	if !ok {
		inner = map[string]any{}
		table[path[0]] = inner
	}
	setPath(inner, path[1:], value)
}

// Difference is one field with two different values.
type Difference struct {
	Field    string
	Old, New string
}

// Diff returns the fields in which a and b differ, in the order of declaration.
func (s *Spec[T]) Diff(a, b *T) []Difference {
	var out []Difference
	for _, field := range s.Fields {
		x, y := field.value(a), field.value(b)
		if !reflect.DeepEqual(x, y) {
			out = append(out, Difference{Field: field.Key, Old: s.display(field, x), New: s.display(field, y)})
		}
	}
	return out
}

// display returns the value as text, and "unset" for a default that stands for the
// absence of a value.
func (s *Spec[T]) display(field Field[T], value any) string {
	if field.DefaultText != "" && reflect.DeepEqual(value, field.value(&s.Defaults)) {
		return "unset"
	}
	return format(value)
}

// Markdown returns the reference table of the fields. The column of schemas is omitted
// if no field has one.
func (s *Spec[T]) Markdown() string {
	columns := []string{"Key", "Type", "Unit", "Default", "Bounds", "Meaning"}
	withSchema := s.hasSchemas()
	if withSchema {
		columns = append(columns, "Since schema")
	}
	rows := [][]string{columns, strings.Split(strings.Repeat("---,", len(columns)-1)+"---", ",")}
	for _, field := range s.Fields {
		row := []string{
			"`" + field.Key + "`", s.typeName(field), orDash(field.Unit), s.defaultText(field), orDash(field.bounds()), field.Doc,
		}
		if withSchema {
			row = append(row, strconv.Itoa(max(field.Since, 1)))
		}
		rows = append(rows, row)
	}
	var b strings.Builder
	for _, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

func (s *Spec[T]) hasSchemas() bool {
	for _, field := range s.Fields {
		if field.Since > 0 {
			return true
		}
	}
	return false
}

// orDash returns text, and a dash for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "–"
	}
	return text
}

func (s *Spec[T]) defaultText(field Field[T]) string {
	switch {
	case field.Required:
		return "required"
	case field.DefaultText != "":
		return field.DefaultText
	}
	return "`" + format(field.value(&s.Defaults)) + "`"
}

func (s *Spec[T]) typeName(field Field[T]) string {
	switch field.At(&s.Defaults).(type) {
	case *string:
		return "string"
	case *[]string:
		return "list of strings"
	case *[]int:
		return "list of integers"
	case *bool:
		return "boolean"
	case *float64:
		return "number"
	case *time.Duration:
		return "duration"
	}
	return "integer"
}
