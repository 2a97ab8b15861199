package persimsoak

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	fresh  = flag.Int("fresh", 0, "play `N` plans of fresh seeds")
	first  = flag.Uint64("first", 0, "play the plan of `SEED`; with -fresh, that many from it on")
	hosts  = flag.Int("hosts", 0, "run `N` hosts in each plan; 0 lets the seed decide")
	length = flag.Duration("length", defaultLength, "go on with trouble for `TIME`")
)

const (
	defaultLength = 12 * time.Second
	// CI plays the plans of these seeds, so that each run gives one verdict.
	ciSeed  = 1
	ciPlans = 2
)

// buildProgram builds the program that the soak runs.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "persimmonport")
	build := exec.Command("go", "build", "-o", program, "persimmonport.example/persimmonport/cmd/persimmonport")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// play runs one plan and keeps the logs where a promise was broken.
func play(t *testing.T, program string, plan Plan) {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak-"+strconv.FormatUint(plan.Seed, 10)+"-")
	require.NoError(t, err)
	report, err := Run(t.Context(), plan, program, folder)
	require.NoError(t, err)
	t.Logf("seed %d: %d hosts, %d upstreams, %d troubles, %d requests, %d served, %d refused, %d broken",
		plan.Seed, plan.Hosts, plan.Upstreams, len(plan.Troubles), report.Requests, report.Served, report.Refused, len(report.Broken))
	if len(report.Broken) == 0 {
		require.NoError(t, os.RemoveAll(folder))
		return
	}
	for _, trouble := range plan.Troubles {
		t.Log(trouble)
	}
	t.Logf("logs are in %s", folder)
	require.Empty(t, report.Broken)
}

// seeds returns the seeds that the flags ask for, or those of CI.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	start, count := *first, max(1, *fresh)
	if start == 0 && *fresh == 0 {
		start, count = ciSeed, ciPlans
	}
	if start == 0 {
		random := make([]byte, 4)
		_, err := rand.Read(random)
		require.NoError(t, err)
		start = uint64(binary.LittleEndian.Uint32(random))
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = start + uint64(i)
	}
	return list
}

func TestSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, program, NewPlan(seed, *hosts, *length)) })
	}
}

// TestFailedSeeds plays again what broke a promise before.
func TestFailedSeeds(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "failed.txt"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	program := buildProgram(t)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		number, cause, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(number, "#") {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		require.NoError(t, err)
		t.Run(cause, func(t *testing.T) { play(t, program, NewPlan(seed, 0, defaultLength)) })
	}
}
