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

// Fault is an invalid or missing entry of a settings file.
type Fault struct {
	// Line is the line number of the entry, or zero if the key is missing.
	Line    int
	Key     string
	Message string
}

// String formats the fault on one line.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Message)
}

const maxFaults = 100

// Load reads a settings file. It returns all faults of the file, or an error if the
// file cannot be read.
func Load(path string) (Settings, []Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, trace.ConvertSystemError(err)
	}
	settings, faults := Parse(data)
	return settings, faults, nil
}

// Parse decodes and validates settings and returns all faults, ordered by line.
func Parse(data []byte) (Settings, []Fault) {
	settings, faults := decode(data)
	faults = append(faults, check(settings, newLineIndex(data), keysOfFaults(faults))...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return settings, faults
}

// decode decodes the data. After a decoding error it clears the faulty lines and
// decodes again, so that one run finds the other faults too, up to maxFaults.
func decode(data []byte) (Settings, []Fault) {
	var faults []Fault
	remaining := bytes.Clone(data)
	for len(faults) < maxFaults {
		settings := DefaultSettings()
		err := toml.NewDecoder(bytes.NewReader(remaining)).DisallowUnknownFields().Decode(&settings)
		if err == nil {
			return settings, faults
		}
		decodeFaults := faultsFromError(err)
		if len(decodeFaults) == 0 {
			return settings, append(faults, Fault{Key: "file", Message: err.Error()})
		}
		faults = append(faults, decodeFaults...)
		for _, f := range decodeFaults {
			remaining = clearLine(remaining, f.Line)
		}
	}
	return DefaultSettings(), faults
}

func faultsFromError(err error) []Fault {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		faults := make([]Fault, len(strictErr.Errors))
		for i := range strictErr.Errors {
			line, _ := strictErr.Errors[i].Position()
			faults[i] = Fault{Line: line, Key: joinKey(strictErr.Errors[i].Key()), Message: "unknown key"}
		}
		return faults
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return []Fault{{Line: line, Key: joinKey(decodeErr.Key()), Message: strings.TrimPrefix(decodeErr.Error(), "toml: ")}}
	}
	return nil
}

func joinKey(key toml.Key) string {
	if len(key) == 0 {
		return "syntax"
	}
	return strings.Join(key, ".")
}

func clearLine(data []byte, line int) []byte {
	lines := bytes.Split(data, []byte("\n"))
	if line >= 1 && line <= len(lines) {
		lines[line-1] = nil
	}
	return bytes.Join(lines, []byte("\n"))
}

func keysOfFaults(faults []Fault) map[string]bool {
	keys := map[string]bool{}
	for _, f := range faults {
		keys[f.Key] = true
	}
	return keys
}

// lineIndex maps keys to their lines.
type lineIndex struct {
	lines map[string]int
}

// newLineIndex records the line of each key under its dotted path, such as
// "listen.peers"; the path of a key in an array of tables contains the index of the
// table, such as "operators[0].name".
func newLineIndex(data []byte) lineIndex {
	index := lineIndex{lines: map[string]int{}}
	prefix := ""
	tableCounts := map[string]int{}
	for i, text := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			prefix = fmt.Sprintf("%s[%d].", name, tableCounts[name])
			tableCounts[name]++
			index.lines[strings.TrimSuffix(prefix, ".")] = i + 1
		case strings.HasPrefix(line, "["):
			prefix = strings.Trim(line, "[] ") + "."
		default:
			key, _, ok := strings.Cut(line, "=")
			if ok && !strings.HasPrefix(line, "#") {
				index.lines[prefix+strings.TrimSpace(key)] = i + 1
			}
		}
	}
	return index
}

func (index lineIndex) line(key string) int { return index.lines[key] }
