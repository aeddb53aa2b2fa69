package decoder

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Bytes is a size in bytes, written with a unit such as 64KiB.
type Bytes int64

// Share is a fraction between 0 and 1, written as a percentage.
type Share float64

// Address is an IP literal with a port, such as 127.0.0.1:8080.
type Address string

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

type unit struct {
	suffix string
	bytes  int64
}

func byteUnits() []unit {
	return []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
}

// String formats the size in the largest unit that divides it.
func (b Bytes) String() string {
	for _, u := range byteUnits() {
		if int64(b) >= u.bytes && int64(b)%u.bytes == 0 {
			return strconv.FormatInt(int64(b)/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// String formats the share as a percentage with at most six decimal places.
func (s Share) String() string {
	return strconv.FormatFloat(math.Round(float64(s)*1e8)/1e6, 'f', -1, 64) + "%"
}

var errEmpty = errors.New("the value is empty")

// acceptedForm describes the values that a field of this type accepts.
func acceptedForm(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[timer.Millis]():
		return "a span with unit ms, s, m or h, such as 250ms"
	case reflect.TypeFor[Bytes]():
		return "a size with unit B, KiB, MiB or GiB, such as 4MiB"
	case reflect.TypeFor[Share]():
		return "a percentage from 0% to 100%"
	case reflect.TypeFor[Address]():
		return "an IP literal with a port, such as 127.0.0.1:8080 or [::1]:8080"
	case reflect.TypeFor[[]Address]():
		return "IP literals with ports, separated by commas"
	case reflect.TypeFor[Digest](), reflect.TypeFor[[]Digest]():
		return "SHA-256 in 64 lower-case hexadecimal digits"
	case reflect.TypeFor[[]string]():
		return "names separated by commas"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "yes or no"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}

// parseValue parses text as a value of the given type.
func parseValue(t reflect.Type, text string) (any, error) {
	if text == "" {
		return nil, errEmpty
	}
	switch t {
	case reflect.TypeFor[timer.Millis]():
		return parseMillis(text)
	case reflect.TypeFor[Bytes]():
		return parseBytes(text)
	case reflect.TypeFor[Share]():
		return parseShare(text)
	case reflect.TypeFor[Address]():
		return parseAddress(text)
	case reflect.TypeFor[Digest]():
		return parseDigest(text)
	case reflect.TypeFor[[]string]():
		return parseList(text, func(s string) (string, error) { return s, nil })
	case reflect.TypeFor[[]Address]():
		return parseList(text, parseAddress)
	case reflect.TypeFor[[]Digest]():
		return parseList(text, parseDigest)
	}
	switch t.Kind() {
	case reflect.Bool:
		return parseBool(text)
	case reflect.Int:
		return parseInt(text)
	case reflect.Float64:
		return parseFloat(text)
	default:
		return text, nil
	}
}

func parseMillis(text string) (timer.Millis, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, fmt.Errorf("%q has no unit", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a span of time", text)
	}
	if d < 0 || d%time.Millisecond != 0 {
		return 0, fmt.Errorf("%q is not a whole number of milliseconds from 0", text)
	}
	return timer.FromDuration(d), nil
}

func parseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits() {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			return 0, fmt.Errorf("%q is not a size", text)
		}
		return Bytes(n * u.bytes), nil
	}
	return 0, fmt.Errorf("%q has no unit", text)
}

func parseShare(text string) (Share, error) {
	number, ok := strings.CutSuffix(text, "%")
	if !ok {
		return 0, fmt.Errorf("%q has no %% sign", text)
	}
	f, err := parseFloat(strings.TrimSpace(number))
	if err != nil || f < 0 || f > 100 {
		return 0, fmt.Errorf("%q is not between 0%% and 100%%", text)
	}
	return Share(f / 100), nil
}

func parseAddress(text string) (Address, error) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "", fmt.Errorf("%q is not an IP literal with a port", text)
	}
	return Address(text), nil
}

func parseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 32 || strings.ToLower(text) != text {
		return "", fmt.Errorf("%q is not a SHA-256 digest", text)
	}
	return Digest(text), nil
}

func parseList[T comparable](text string, parse func(string) (T, error)) ([]T, error) {
	var list []T
	seen := map[T]bool{}
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			return nil, fmt.Errorf("%q has an empty member", text)
		}
		v, err := parse(part)
		if err != nil {
			return nil, err
		}
		if seen[v] {
			return nil, fmt.Errorf("%q is named twice", part)
		}
		seen[v] = true
		list = append(list, v)
	}
	return list, nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither yes nor no", text)
}

func parseInt(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	return n, nil
}

func parseFloat(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return f, nil
}

// formatValue formats a value so that parseValue reads it back.
func formatValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case bool:
		if x {
			return "yes"
		}
		return "no"
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	case fmt.Stringer:
		return x.String()
	}
	if v.Kind() != reflect.Slice {
		return fmt.Sprint(v.Interface())
	}
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = formatValue(v.Index(i))
	}
	return strings.Join(parts, ", ")
}
