package decoder

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Field describes one key of a section; it is read from the tags of a struct field.
type Field struct {
	Key      string
	Default  string
	Required bool
	Accepted string
	Doc      string

	index   int
	choices []string
	min     string
	max     string
}

// Fields returns the keys of a tagged struct in the order of its fields; v is the struct or a pointer to it.
func Fields(v any) []Field {
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var fields []Field
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		key := tag.Get("ini")
		if key == "" {
			continue
		}
		f := Field{
			Key:      key,
			Default:  tag.Get("default"),
			Required: tag.Get("required") == "yes",
			Doc:      tag.Get("doc"),
			index:    i,
			min:      tag.Get("min"),
			max:      tag.Get("max"),
		}
		if choices := tag.Get("accept"); choices != "" {
			f.choices = strings.Split(choices, "|")
		}
		f.Accepted = f.acceptedText(t.Field(i).Type)
		fields = append(fields, f)
	}
	return fields
}

func (f Field) acceptedText(t reflect.Type) string {
	if len(f.choices) > 0 {
		return strings.Join(f.choices, ", ")
	}
	text := acceptedForm(t)
	if f.min != "" {
		text += ", at least " + f.min
	}
	if f.max != "" {
		text += ", at most " + f.max
	}
	return text
}

// Decode decodes a section into the tagged struct that ptr points to and returns every problem found.
func (s *Source) Decode(section string, ptr any) Problems {
	v := reflect.ValueOf(ptr).Elem()
	fields := Fields(ptr)
	ps := s.unknownKeys(section, fields)
	for _, f := range fields {
		if p, ok := s.decodeField(section, f, v.Field(f.index)); !ok {
			ps = append(ps, p)
		}
	}
	return ps
}

func (s *Source) decodeField(section string, f Field, v reflect.Value) (Problem, bool) {
	isSet := s.HasKey(section, f.Key)
	if !isSet && f.Required {
		return s.NewProblem(section, f.Key, "the key is missing", f.Accepted), false
	}
	text := f.Default
	if isSet {
		text = s.file.Section(section).Key(f.Key).Value()
	}
	if !isSet && text == "" {
		return Problem{}, true
	}
	if err := f.set(v, text); err != nil {
		return s.NewProblem(section, f.Key, err.Error(), f.Accepted), false
	}
	return Problem{}, true
}

func (f Field) set(v reflect.Value, text string) error {
	x, err := parseValue(v.Type(), text)
	if err != nil {
		return err
	}
	if len(f.choices) > 0 && !slices.Contains(f.choices, text) {
		return fmt.Errorf("%q is not one of the choices", text)
	}
	parsed := reflect.ValueOf(x)
	if f.min != "" && compare(parsed, mustParse(v.Type(), f.min)) < 0 {
		return fmt.Errorf("%q is below the least value", text)
	}
	if f.max != "" && compare(parsed, mustParse(v.Type(), f.max)) > 0 {
		return fmt.Errorf("%q is above the greatest value", text)
	}
	v.Set(parsed.Convert(v.Type()))
	return nil
}

func (s *Source) unknownKeys(section string, fields []Field) Problems {
	knownKeys := make([]string, len(fields))
	for i, f := range fields {
		knownKeys[i] = f.Key
	}
	var ps Problems
	for loc := range s.lines {
		if loc.section != section || loc.key == "" || slices.Contains(knownKeys, loc.key) {
			continue
		}
		ps = append(ps, s.NewProblem(section, loc.key, "unknown key", strings.Join(knownKeys, ", ")))
	}
	return ps
}

// mustParse parses a default or bound from a struct tag; it panics on a malformed tag, which is a programming error.
func mustParse(t reflect.Type, text string) reflect.Value {
	x, err := parseValue(t, text)
	if err != nil {
		panic(fmt.Sprintf("malformed value %q in a struct tag: %v", text, err))
	}
	return reflect.ValueOf(x)
}

func compare(a, b reflect.Value) int {
	x, y := toFloat(a), toFloat(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func toFloat(v reflect.Value) float64 {
	if v.CanInt() {
		return float64(v.Int())
	}
	return v.Float()
}

// Pair is one key with its formatted value.
type Pair struct {
	Key   string
	Value string
}

// NonDefaultPairs returns the required keys and the keys with non-default values, in the order of the struct's fields.
func NonDefaultPairs(v any) []Pair {
	value := reflect.Indirect(reflect.ValueOf(v))
	var pairs []Pair
	for _, f := range Fields(v) {
		text := formatValue(value.Field(f.index))
		if f.isDefault(value.Field(f.index), text) {
			continue
		}
		pairs = append(pairs, Pair{Key: f.Key, Value: text})
	}
	return pairs
}

func (f Field) isDefault(v reflect.Value, text string) bool {
	if f.Required {
		return false
	}
	if f.Default == "" {
		return v.IsZero() || text == ""
	}
	return text == formatValue(mustParse(v.Type(), f.Default))
}
