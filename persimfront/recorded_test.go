package persimfront

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

var recordDecisions = flag.Bool("record", false, "write the decisions of the recorded sequences to testdata")

// unrankedCatalogue returns a configuration of services of which none is ranked: priorities are
// equal, the first priority has the looser target or the shorter prompts, or there are no
// prompts.
func unrankedCatalogue() persimcatalog.Catalogue {
	var routes []persimcatalog.Route
	add := func(service, name string, priority int, target time.Duration) {
		routes = append(routes, persimcatalog.Route{
			Name: service + "-" + name, Host: "h", Prefix: "/" + service + "/" + name + "/", Kind: persimcatalog.KindStreaming,
			Timeout: 30 * time.Second, Target: target, Priority: priority, MaxAttempts: 2,
			Splits: []persimcatalog.Split{{Service: service, Weight: 1}},
		})
	}
	add("equal", "long", 1, time.Second)
	add("equal", "short", 1, 2*time.Second)
	add("loose", "long", 0, 2*time.Second)
	add("loose", "short", 2, time.Second)
	add("shorter", "long", 2, 2*time.Second)
	add("shorter", "short", 0, time.Second)
	add("plain", "long", 0, time.Second)
	add("plain", "short", 2, 2*time.Second)
	engine := &persimcatalog.Engine{Slots: 12, KVCapacityTokens: 200_000}
	services := []persimcatalog.Service{{Name: "equal", Engine: engine}, {Name: "loose", Engine: engine}, {Name: "shorter", Engine: engine}, {Name: "plain"}}
	first := 0
	return persimcatalog.New(1, routes, services, []persimcatalog.Organisation{
		{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}, Priority: &first},
	}, persimcatalog.Limits{})
}

// decideUnranked returns one line for each decision on a sequence of requests.
func decideUnranked(t *testing.T) string {
	t.Helper()
	f := New(WithBounds(testBounds)).(*front)
	services := []string{"equal", "loose", "shorter", "plain"}
	upstreams := map[string][]persimcatalog.Upstream{}
	for i, service := range services {
		f.dispatcher.placers[service] = persimplace.New(persimplace.WithRandom(rand.New(rand.NewPCG(uint64(i), 1))))
		for j := range 6 {
			id := fmt.Sprintf("%s-%d", service, j)
			upstreams[service] = append(upstreams[service], persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: id, Born: 1}, Service: service, Slots: 12})
		}
	}
	f.SetCatalogue(unrankedCatalogue())
	f.ConfirmCatalogue(persimclock.Now())
	f.SetUpstreams(upstreams)
	f.ConfirmUpstreams(persimclock.Now())
	random := rand.New(rand.NewPCG(7, 7))
	var lines strings.Builder
	for i := range 600 {
		service := services[random.IntN(len(services))]
		name, tokens := "short", 1000+random.IntN(2500)
		if random.IntN(3) == 0 {
			name, tokens = "long", 8000+random.IntN(8000)
		}
		key := []string{"ka", "kb"}[random.IntN(2)]
		request := &http.Request{Host: "h", RequestURI: "/" + service + "/" + name + "/", Header: http.Header{}}
		request.Header.Set(platform.HeaderAPIKey, key)
		if service != "plain" {
			request.Header.Set(platform.HeaderTokenCount, fmt.Sprintf("%d,%d", tokens, 40))
			request.Header.Set(platform.HeaderPrefixHash, fmt.Sprintf("%x:500,%x:%d", 1+random.IntN(9), 1000+i, tokens-500))
		}
		c := &call{front: f, id: fmt.Sprintf("r%d", i), arrived: time.Now(), request: request, requestTarget: request.RequestURI}
		require.Nil(t, c.admit(nil))
		choice, refused := c.chooseUpstream()
		fmt.Fprintf(&lines, "%s %s %q %t ", c.id, c.route.Name, c.forwardHeader.Get(platform.HeaderPriority), c.placement.Urgent)
		if refused != nil {
			fmt.Fprintf(&lines, "refused %d %s %v\n", refused.status, refused.cause, refused.retryDelay)
			continue
		}
		fmt.Fprintf(&lines, "%s %v %d %d\n", choice.Upstream.ID, choice.Expected, choice.PrefillTokens, choice.Requests)
		placer := f.dispatcher.placer(service)
		// A pause of the test must not let the attempts become overdue.
		ticket := placer.StartAttempt(c.arrived.Add(time.Hour), c.placement, choice)
		if random.IntN(10) < 1 {
			placer.EndAttempt(c.arrived, ticket, persimplace.OutcomeSuccess)
		}
	}
	return lines.String()
}

// TestUnrankedServicesAreServedAsBefore checks that priorities change nothing for services that
// are not ranked: the decisions in testdata were recorded before priorities were read.
func TestUnrankedServicesAreServedAsBefore(t *testing.T) {
	const path = "testdata/unranked.txt"
	decisions := decideUnranked(t)
	if *recordDecisions {
		require.NoError(t, os.WriteFile(path, []byte(decisions), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(recorded), decisions)
}
