package persimsettings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// A Fault is one mistake in a settings file.
type Fault struct {
	// Line is the line of the mistake, or zero when a key is missing.
	Line    int
	Key     string
	Message string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Message)
}

const maxFaults = 100

// Load reads a settings file. It returns every fault found, or an error when the
// file cannot be read.
func Load(path string) (Settings, []Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, trace.ConvertSystemError(err)
	}
	settings, faults := Parse(data)
	return settings, faults, nil
}

// Parse reads settings and returns every fault found.
func Parse(data []byte) (Settings, []Fault) {
	settings, faults := decode(data)
	faults = append(faults, check(settings, newIndex(data), faulty(faults))...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return settings, faults
}

// decode decodes the data, and after each fault decodes the rest without the faulty line.
func decode(data []byte) (Settings, []Fault) {
	var faults []Fault
	rest := bytes.Clone(data)
	for len(faults) < maxFaults {
		settings := DefaultSettings()
		err := toml.NewDecoder(bytes.NewReader(rest)).DisallowUnknownFields().Decode(&settings)
		if err == nil {
			return settings, faults
		}
		found := faultsOf(err)
		if len(found) == 0 {
			return settings, append(faults, Fault{Key: "file", Message: err.Error()})
		}
		faults = append(faults, found...)
		for _, f := range found {
			rest = blankLine(rest, f.Line)
		}
	}
	return DefaultSettings(), faults
}

func faultsOf(err error) []Fault {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		faults := make([]Fault, len(strict.Errors))
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			faults[i] = Fault{Line: line, Key: joinKey(strict.Errors[i].Key()), Message: "unknown key"}
		}
		return faults
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return []Fault{{Line: line, Key: joinKey(wrong.Key()), Message: strings.TrimPrefix(wrong.Error(), "toml: ")}}
	}
	return nil
}

func joinKey(key toml.Key) string {
	if len(key) == 0 {
		return "syntax"
	}
	return strings.Join(key, ".")
}

func blankLine(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line >= 1 && line <= len(lines) {
		lines[line-1] = nil
	}
	return bytes.Join(lines, []byte("\n"))
}

func faulty(faults []Fault) map[string]bool {
	keys := map[string]bool{}
	for _, f := range faults {
		keys[f.Key] = true
	}
	return keys
}

// index finds the line of a key.
type index struct {
	lines map[string]int
}

// newIndex notes the line of each key as a dotted path; keys of a repeated table
// carry the number of the table.
func newIndex(data []byte) index {
	ix := index{lines: map[string]int{}}
	prefix := ""
	counts := map[string]int{}
	for i, raw := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			prefix = fmt.Sprintf("%s[%d].", name, counts[name])
			counts[name]++
			ix.lines[strings.TrimSuffix(prefix, ".")] = i + 1
		case strings.HasPrefix(line, "["):
			prefix = strings.Trim(line, "[] ") + "."
		default:
			key, _, ok := strings.Cut(line, "=")
			if ok && !strings.HasPrefix(line, "#") {
				ix.lines[prefix+strings.TrimSpace(key)] = i + 1
			}
		}
	}
	return ix
}

func (ix index) line(key string) int { return ix.lines[key] }
