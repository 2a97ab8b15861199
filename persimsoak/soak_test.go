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
	randomPlans  = flag.Int("fresh", 0, "run `N` plans with random seeds")
	firstSeed    = flag.Uint64("first", 0, "run the plan of `SEED`; with -fresh N, the N plans from this seed on")
	hostCount    = flag.Int("hosts", 0, "run `N` hosts in each plan; 0 takes the number from the seed")
	addPoison    = flag.Bool("poison", false, "add an event that makes a part of prompts deadly to each plan")
	addDrills    = flag.Bool("drills", false, "let the store come back from older copies in each plan")
	addRollout   = flag.String("rollout", "", "add the rollout of a `good` or a bad version to each plan")
	planDuration = flag.Duration("length", defaultLength, "inject events for `TIME`")
)

const (
	defaultLength = 12 * time.Second
	// CI runs the plans of these fixed seeds, so that its result is reproducible.
	ciSeed  = 1
	ciPlans = 2
)

// buildProgram builds the program of the entry hosts.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "persimmonport")
	build := exec.Command("go", "build", "-o", program, "persimmonport.example/persimmonport/cmd/persimmonport")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// runPlan runs one plan and keeps the logs if a guarantee was violated, tolerated or not.
func runPlan(t *testing.T, program string, plan Plan) {
	t.Helper()
	logDir, err := os.MkdirTemp("", "soak-"+strconv.FormatUint(plan.Seed, 10)+"-")
	require.NoError(t, err)
	report, err := Run(t.Context(), plan, program, logDir)
	require.NoError(t, err)
	t.Logf("seed %d: %d hosts, %d upstreams, %d events, %d requests, %d served, %d refused, %d after a long idle time, %d tolerated, %d violations",
		plan.Seed, plan.Hosts, plan.Upstreams, len(plan.Events), report.Requests, report.Served, report.Refused,
		report.AfterIdle, len(report.Tolerated), len(report.Violations))
	if report.Poison != "" {
		t.Log("poison:", report.Poison)
	}
	if report.Drills != "" {
		t.Log("drills:", report.Drills)
	}
	if report.Rollout != "" {
		t.Log("rollout:", report.Rollout)
	}
	for _, tolerated := range report.Tolerated {
		t.Log("tolerated:", tolerated)
	}
	if len(report.Violations)+len(report.Tolerated) == 0 {
		require.NoError(t, os.RemoveAll(logDir))
		return
	}
	for _, event := range plan.Events {
		t.Log(event)
	}
	t.Logf("logs are in %s", logDir)
	require.Empty(t, report.Violations)
}

// seeds returns the seeds that the flags select, or those of CI.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	start, count := *firstSeed, max(1, *randomPlans)
	if start == 0 && *randomPlans == 0 {
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
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			plan := NewPlan(seed, *hostCount, *planDuration)
			if *addPoison {
				plan.AddPoison()
			}
			if *addDrills {
				plan.AddDrills()
			}
			switch *addRollout {
			case "good":
				plan.AddRollout(KindRollout)
			case "bad":
				plan.AddRollout(KindBadRollout)
			}
			runPlan(t, program, plan)
		})
	}
}

// TestRollouts rolls out a good and a bad version without other events.
func TestRollouts(t *testing.T) {
	program := buildProgram(t)
	for _, kind := range []Kind{KindRollout, KindBadRollout} {
		t.Run(string(kind), func(t *testing.T) {
			plan := NewPlan(ciSeed, 0, defaultLength)
			plan.Events = nil
			plan.AddRollout(kind)
			runPlan(t, program, plan)
		})
	}
}

// TestRegressionSeeds repeats the plans that violated a guarantee before.
func TestRegressionSeeds(t *testing.T) {
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
		t.Run(cause, func(t *testing.T) { runPlan(t, program, NewPlan(seed, 0, defaultLength)) })
	}
}
