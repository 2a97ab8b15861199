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

// An Overhead compares requests through an entry host with direct calls of the
// engine in the same run.
type Overhead struct {
	Requests int
	Tokens   int
	Parallel int
	// Direct and Through are the median times to the first token and to the end.
	DirectFirst  time.Duration
	DirectTotal  time.Duration
	ThroughFirst time.Duration
	ThroughTotal time.Duration
	// HostCPU and EngineCPU are the processor times of the processes.
	HostCPU   time.Duration
	EngineCPU time.Duration
}

// An OverheadPlan says what to measure.
type OverheadPlan struct {
	Engine  string
	Callers string
	Token   string
	// HostPIDs are the processes of the entry hosts, EnginePID that of the engine.
	HostPIDs  []int
	EnginePID int
	Requests  int
	Tokens    int
	// Parallel is the number of requests in progress at a time.
	Parallel int
}

const clockTicksPerSecond = 100

// processorTime returns the processor time of a process so far.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userField, systemField = 11, 12
	user, err := strconv.Atoi(fields[userField])
	if err != nil {
		return 0, trace.Wrap(err)
	}
	system, err := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, trace.Wrap(err)
}

func processorTimes(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		used, err := processorTime(pid)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		total += used
	}
	return total, nil
}

// lapse is the time to the first token and to the end of one request.
type lapse struct {
	first time.Duration
	total time.Duration
}

func medianLapse(lapses []lapse) lapse {
	middle := func(value func(lapse) time.Duration) time.Duration {
		values := make([]time.Duration, len(lapses))
		for i, l := range lapses {
			values[i] = value(l)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return lapse{
		first: middle(func(l lapse) time.Duration { return l.first }),
		total: middle(func(l lapse) time.Duration { return l.total }),
	}
}

// MeasureOverhead sends the same requests to the engine and through the entry host.
func MeasureOverhead(ctx context.Context, plan OverheadPlan) (Overhead, error) {
	result := Overhead{Requests: plan.Requests, Tokens: plan.Tokens, Parallel: plan.Parallel}
	engineBefore, err := processorTime(plan.EnginePID)
	if err != nil {
		return result, trace.Wrap(err)
	}
	direct, err := plan.repeat(func(i int) (lapse, error) { return plan.direct(ctx, i) })
	if err != nil {
		return result, trace.Wrap(err)
	}
	engineAfter, err := processorTime(plan.EnginePID)
	if err != nil {
		return result, trace.Wrap(err)
	}
	hostsBefore, err := processorTimes(plan.HostPIDs)
	if err != nil {
		return result, trace.Wrap(err)
	}
	through, err := plan.repeat(func(i int) (lapse, error) { return plan.through(ctx, i) })
	if err != nil {
		return result, trace.Wrap(err)
	}
	hostsAfter, err := processorTimes(plan.HostPIDs)
	if err != nil {
		return result, trace.Wrap(err)
	}
	result.DirectFirst, result.DirectTotal = direct.first, direct.total
	result.ThroughFirst, result.ThroughTotal = through.first, through.total
	result.HostCPU = hostsAfter - hostsBefore
	result.EngineCPU = engineAfter - engineBefore
	return result, nil
}

func (p OverheadPlan) repeat(one func(i int) (lapse, error)) (lapse, error) {
	lapses := make([]lapse, p.Requests)
	var group errgroup.Group
	group.SetLimit(p.Parallel)
	for i := range lapses {
		group.Go(func() error {
			l, err := one(i)
			lapses[i] = l
			return trace.Wrap(err)
		})
	}
	if err := group.Wait(); err != nil {
		return lapse{}, trace.Wrap(err)
	}
	return medianLapse(lapses), nil
}

func (p OverheadPlan) prompt(i int) string { return fmt.Sprintf("measure %d len=%d", i, p.Tokens) }

func (p OverheadPlan) direct(ctx context.Context, i int) (lapse, error) {
	engine, cleanup := persimupstream.NewEngine()
	defer cleanup()
	var l lapse
	begin := time.Now()
	request := persimupstream.CompletionRequest{Stream: fmt.Sprint("direct-", i), Prompt: p.prompt(i), MaxTokens: p.Tokens}
	_, err := engine.Generate(ctx, p.Engine, request, func(index int, _ string) error {
		if index == 0 {
			l.first = time.Since(begin)
		}
		return nil
	})
	l.total = time.Since(begin)
	return l, trace.Wrap(err)
}

func (p OverheadPlan) through(ctx context.Context, i int) (lapse, error) {
	var l lapse
	client := persimwire.NewCallerServiceClient(http.DefaultClient, p.Callers)
	req := connect.NewRequest(&persimwire.GenerateRequest{Service: "match", Prompt: p.prompt(i)})
	req.Header().Set("Authorization", "Bearer "+p.Token)
	begin := time.Now()
	stream, err := client.Generate(ctx, req)
	if err != nil {
		return l, trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if stream.Msg().GetPiece() != nil && l.first == 0 {
			l.first = time.Since(begin)
		}
	}
	l.total = time.Since(begin)
	return l, trace.Wrap(stream.Err())
}

// String returns the ratios as text.
func (o Overhead) String() string {
	perRequest := func(d time.Duration) time.Duration { return d / time.Duration(o.Requests) }
	perToken := func(d time.Duration) time.Duration { return d / time.Duration(o.Requests*o.Tokens) }
	return fmt.Sprintf(`overhead of an entry host, %d requests of %d tokens, %d at a time
  first token   direct %v, through %v, ratio %.2f
  whole answer  direct %v, through %v, ratio %.2f
  processor     %v a request and %v a token on the entry hosts; %.2f of the engine stand-in's own
`,
		o.Requests, o.Tokens, o.Parallel,
		o.DirectFirst.Round(time.Microsecond), o.ThroughFirst.Round(time.Microsecond), ratio(o.ThroughFirst, o.DirectFirst),
		o.DirectTotal.Round(time.Microsecond), o.ThroughTotal.Round(time.Microsecond), ratio(o.ThroughTotal, o.DirectTotal),
		perRequest(o.HostCPU), perToken(o.HostCPU), ratio(o.HostCPU, o.EngineCPU))
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return a.Seconds() / b.Seconds()
}
