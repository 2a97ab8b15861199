package persimbench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

// Overhead compares requests through an entry host with direct calls of the engine in
// the same run.
type Overhead struct {
	Requests    int
	Tokens      int
	Concurrency int
	// The times to the first token (TTFT) and to the end of the answer are medians.
	DirectTTFT   time.Duration
	DirectTotal  time.Duration
	ProxiedTTFT  time.Duration
	ProxiedTotal time.Duration
	// HostCPUTime is the CPU time of the entry hosts during the proxied requests,
	// EngineCPUTime that of the engine during the direct ones.
	HostCPUTime   time.Duration
	EngineCPUTime time.Duration
}

// OverheadPlan configures MeasureOverhead.
type OverheadPlan struct {
	// EngineAddress is the address of the engine, EntryURL the caller URL of the entry host.
	EngineAddress string
	EntryURL      string
	// Token is the bearer token of the caller.
	Token string
	// HostPIDs are the processes of the entry hosts, EnginePID that of the engine.
	HostPIDs  []int
	EnginePID int
	Requests  int
	// Tokens is the length of the answer to each request.
	Tokens int
	// Concurrency is the number of concurrent requests.
	Concurrency int
}

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// processCPUTime returns the CPU time that a process has used.
func processCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	// Indexes of the fields that follow the command name.
	const utimeField, stimeField = 11, 12
	utime, err := strconv.Atoi(fields[utimeField])
	if err != nil {
		return 0, trace.Wrap(err)
	}
	stime, err := strconv.Atoi(fields[stimeField])
	return time.Duration(utime+stime) * time.Second / clockTicksPerSecond, trace.Wrap(err)
}

// totalCPUTime returns the sum of the CPU times of some processes.
func totalCPUTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		cpuTime, err := processCPUTime(pid)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		total += cpuTime
	}
	return total, nil
}

// requestTiming is the time to the first token and to the end of one request.
type requestTiming struct {
	ttft  time.Duration
	total time.Duration
}

// medianTiming returns the medians of both times.
func medianTiming(timings []requestTiming) requestTiming {
	median := func(value func(requestTiming) time.Duration) time.Duration {
		values := make([]time.Duration, len(timings))
		for i, t := range timings {
			values[i] = value(t)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return requestTiming{
		ttft:  median(func(t requestTiming) time.Duration { return t.ttft }),
		total: median(func(t requestTiming) time.Duration { return t.total }),
	}
}

// MeasureOverhead sends the same requests directly to the engine and through the entry
// host.
func MeasureOverhead(ctx context.Context, plan OverheadPlan) (Overhead, error) {
	result := Overhead{Requests: plan.Requests, Tokens: plan.Tokens, Concurrency: plan.Concurrency}
	engineBefore, err := processCPUTime(plan.EnginePID)
	if err != nil {
		return result, trace.Wrap(err)
	}
	direct, err := plan.measureRequests(func(i int) (requestTiming, error) { return plan.measureDirect(ctx, i) })
	if err != nil {
		return result, trace.Wrap(err)
	}
	engineAfter, err := processCPUTime(plan.EnginePID)
	if err != nil {
		return result, trace.Wrap(err)
	}
	hostsBefore, err := totalCPUTime(plan.HostPIDs)
	if err != nil {
		return result, trace.Wrap(err)
	}
	proxied, err := plan.measureRequests(func(i int) (requestTiming, error) { return plan.measureProxied(ctx, i) })
	if err != nil {
		return result, trace.Wrap(err)
	}
	hostsAfter, err := totalCPUTime(plan.HostPIDs)
	if err != nil {
		return result, trace.Wrap(err)
	}
	result.DirectTTFT, result.DirectTotal = direct.ttft, direct.total
	result.ProxiedTTFT, result.ProxiedTotal = proxied.ttft, proxied.total
	result.HostCPUTime = hostsAfter - hostsBefore
	result.EngineCPUTime = engineAfter - engineBefore
	return result, nil
}

// measureRequests runs all requests of a plan and returns their median timing.
func (p OverheadPlan) measureRequests(measure func(i int) (requestTiming, error)) (requestTiming, error) {
	timings := make([]requestTiming, p.Requests)
	var group errgroup.Group
	group.SetLimit(p.Concurrency)
	for i := range timings {
		group.Go(func() error {
			timing, err := measure(i)
			timings[i] = timing
			return trace.Wrap(err)
		})
	}
	if err := group.Wait(); err != nil {
		return requestTiming{}, trace.Wrap(err)
	}
	return medianTiming(timings), nil
}

func (p OverheadPlan) prompt(i int) string { return fmt.Sprintf("measure %d len=%d", i, p.Tokens) }

func (p OverheadPlan) measureDirect(ctx context.Context, i int) (requestTiming, error) {
	engine, cleanup := persimupstream.NewEngine()
	defer cleanup()
	var timing requestTiming
	start := time.Now()
	request := persimupstream.CompletionRequest{RequestID: fmt.Sprint("direct-", i), Prompt: p.prompt(i), MaxTokens: p.Tokens}
	_, err := engine.Generate(ctx, p.EngineAddress, request, func(index int, _ string) error {
		if index == 0 {
			timing.ttft = time.Since(start)
		}
		return nil
	})
	timing.total = time.Since(start)
	return timing, trace.Wrap(err)
}

func (p OverheadPlan) measureProxied(ctx context.Context, i int) (requestTiming, error) {
	var timing requestTiming
	client := persimwire.NewCallerServiceClient(http.DefaultClient, p.EntryURL)
	req := connect.NewRequest(&persimwire.GenerateRequest{Service: "match", Prompt: p.prompt(i)})
	req.Header().Set("Authorization", "Bearer "+p.Token)
	start := time.Now()
	stream, err := client.Generate(ctx, req)
	if err != nil {
		return timing, trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetPiece() != nil && timing.ttft == 0 {
			timing.ttft = time.Since(start)
		}
	}
	timing.total = time.Since(start)
	return timing, trace.Wrap(stream.Err())
}

// String returns the times and their ratios as text.
func (o Overhead) String() string {
	perRequest := func(d time.Duration) time.Duration { return d / time.Duration(o.Requests) }
	perToken := func(d time.Duration) time.Duration { return d / time.Duration(o.Requests*o.Tokens) }
	return fmt.Sprintf(`overhead of an entry host, %d requests of %d tokens, %d at a time
  first token   direct %v, through %v, ratio %.2f
  whole answer  direct %v, through %v, ratio %.2f
  processor     %v a request and %v a token on the entry hosts; %.2f of the engine stand-in's own
`,
		o.Requests, o.Tokens, o.Concurrency,
		o.DirectTTFT.Round(time.Microsecond), o.ProxiedTTFT.Round(time.Microsecond), ratio(o.ProxiedTTFT, o.DirectTTFT),
		o.DirectTotal.Round(time.Microsecond), o.ProxiedTotal.Round(time.Microsecond), ratio(o.ProxiedTotal, o.DirectTotal),
		perRequest(o.HostCPUTime), perToken(o.HostCPUTime), ratio(o.HostCPUTime, o.EngineCPUTime))
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return a.Seconds() / b.Seconds()
}
