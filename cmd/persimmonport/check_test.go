package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckFiles(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "boot.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := `{"node":"a","ip":"10.0.0.1","zone":"z","internal_ports":[7500,7515],
"listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"platform":{"address":"10.0.0.9:3"}}`
	tests := map[string]struct {
		path string
		ok   bool
	}{
		"good":       {write(good), true},
		"unreadable": {write("{"), false},
		"incomplete": {write("{}"), false},
		"missing":    {filepath.Join(t.TempDir(), "none"), false},
		"not named":  {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkFiles("", test.path)
			require.Equal(t, test.ok, err == nil, "%v", err)
		})
	}
}
