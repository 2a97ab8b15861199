package persimsettings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validSettings = `name = "entry-0"
centre = "catania"
peers = ["127.0.0.1:7101"]

[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7101"
operators = "127.0.0.1:7201"

[platform]
url = "http://127.0.0.1:7000"

[keys]
authority = "ca.pem"
cert = "entry-0.pem"
key = "entry-0.key"

[[organisations]]
name = "consorzio"
digest = "` + validDigest + `"
`

// settingsCase replaces a part of the valid settings and lists the expected faults.
type settingsCase struct {
	name string
	from string
	to   string
	want []string
}

func TestFaults(t *testing.T) {
	for _, c := range []settingsCase{
		{"none", "", "", nil},
		{"bad name", `"entry-0"`, `"Entry 0"`, []string{`line 1: name: "Entry 0": ` + nameRule}},
		{"unknown key", `centre = "catania"`, "centre = \"catania\"\nzone = 1", []string{"line 3: zone: unknown key"}},
		{"no IP address", "127.0.0.1:7001", "localhost:7001", []string{`line 6: listen.callers: "localhost:7001": want an IP address and a port, such as 127.0.0.1:7001`}},
		{"bad digest", validDigest, "12", []string{"line 20: organisations[0].digest: want the SHA-256 of the token as 64 hexadecimal digits"}},
		{"missing table", "[keys]\nauthority = \"ca.pem\"\ncert = \"entry-0.pem\"\nkey = \"entry-0.key\"", "", []string{
			"keys.authority: missing", "keys.cert: missing", "keys.key: missing",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, faults := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			requireFaults(t, c.want, faults)
		})
	}
}

func requireFaults(t *testing.T, want []string, faults []Fault) {
	t.Helper()
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	require.Equal(t, want, got)
}

func TestFiveFaultsInOneRun(t *testing.T) {
	data := validSettings + `
[drain]
lag = "soon"
notice = "2h"

[limits]
requests = -1
prompts = 3

[timeouts]
stale = "90s"
`
	_, faults := Parse([]byte(data))
	var keys []string
	for _, f := range faults {
		require.Positive(t, f.Line)
		keys = append(keys, f.Key)
	}
	require.Equal(t, []string{"drain.lag", "drain.notice", "limits.requests", "limits.prompts", "timeouts.stale"}, keys)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[["))
	f.Add([]byte("name = 1\nname = 2"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse(data)
	})
}

// TestEveryKeyIsDocumented checks that the operators' page mentions every settings key.
func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATING.md")
	require.NoError(t, err)
	for _, key := range settingsKeys(reflect.TypeFor[Settings](), "") {
		require.Contains(t, string(page), "`"+key+"`")
	}
}

// settingsKeys returns the dotted keys of a settings table; an array of tables is one key.
func settingsKeys(table reflect.Type, prefix string) []string {
	var keys []string
	for i := range table.NumField() {
		field := table.Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, settingsKeys(field.Type, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
