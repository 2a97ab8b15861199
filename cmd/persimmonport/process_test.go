package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"persimmonport.example/persimduration"
	"persimmonport.example/persimkeys"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

const (
	token       = "secret"
	tokenDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	hostCount   = 3
)

// system is a deployment of processes on loopback.
type system struct {
	t               *testing.T
	binDir          string
	dir             string
	platformAddress string
	serviceAddress  string
	settings        []persimsettings.Settings
	processes       []*exec.Cmd
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, binDir: t.TempDir(), dir: t.TempDir(), platformAddress: freeAddress(t), serviceAddress: freeAddress(t)}
	build := exec.Command("go", "build", "-o", s.binDir, "persimmonport.example/persimmonport/cmd/...")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	s.start("persimstand", "platform", "--listen", s.platformAddress)
	s.awaitHTTP("http://" + s.platformAddress + "/admin/counts")
	s.storeCatalogue()
	for range 2 {
		engine := freeAddress(t)
		s.start("persimstand", "engine", "--listen", engine, "--gap", "20ms")
		s.registerHost(engine, "oracolo")
	}
	s.start("persimstand", "service", "--listen", s.serviceAddress)
	s.registerHost(s.serviceAddress, "banco")
	require.NoError(t, persimkeys.CreateAuthority(s.dir))
	s.startHosts()
	return s
}

func (s *system) start(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(s.binDir, program), args...)
	cmd.Stderr = os.Stderr
	require.NoError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (s *system) awaitHTTP(url string) {
	require.Eventually(s.t, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 30*time.Second, 50*time.Millisecond, url)
}

func (s *system) storeCatalogue() {
	catalogue := persimprofile.NewCatalogue(0, nil, nil, nil)
	catalogue, err := catalogue.WithProfile(persimprofile.DefaultProfile().WithName("any"), persimprofile.Change{ID: "1"})
	require.NoError(s.t, err)
	for _, service := range []persimprofile.Service{
		{Name: "match", Group: "oracolo", Profile: "any"},
		{Name: "stock", Group: "banco", Profile: "any", AtMostOnceMethods: []string{"reserve"}},
	} {
		catalogue, err = catalogue.WithService(service, persimprofile.Change{ID: service.Name})
		require.NoError(s.t, err)
	}
	value, err := persimprofile.Marshal(catalogue)
	require.NoError(s.t, err)
	platform, cleanup := persimplatform.New("http://" + s.platformAddress)
	defer cleanup()
	_, err = platform.Put(s.t.Context(), persimplatform.Object{Name: persimprofile.ObjectName, Value: value})
	require.NoError(s.t, err)
}

func (s *system) postJSON(address, path string, value any) {
	data, err := json.Marshal(value)
	require.NoError(s.t, err)
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(string(data)))
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
}

func (s *system) registerHost(address, group string) {
	s.postJSON(s.platformAddress, "/admin/hosts", persimplatform.Host{
		Name: address, Address: address, Incarnation: "1", Group: group, State: persimplatform.HostLive,
	})
}

func (s *system) startHosts() {
	peers := make([]string, hostCount)
	for i := range peers {
		peers[i] = freeAddress(s.t)
	}
	for i := range peers {
		settings := s.newSettings(i, peers)
		data, err := toml.Marshal(settings)
		require.NoError(s.t, err)
		path := filepath.Join(s.dir, settings.Name+".toml")
		require.NoError(s.t, os.WriteFile(path, data, 0o600))
		s.settings = append(s.settings, settings)
		s.processes = append(s.processes, s.start("persimmonport", "serve", "--settings", path))
	}
	for i := range s.settings {
		s.awaitHTTP("http://" + s.settings[i].Listen.Operators + "/ready")
	}
	time.Sleep(time.Second)
}

func (s *system) newSettings(i int, peers []string) persimsettings.Settings {
	settings := persimsettings.DefaultSettings()
	settings.Name = fmt.Sprint("entry-", i)
	settings.Centre = fmt.Sprint("centre-", i)
	settings.Peers = peers
	settings.Listen = persimsettings.Listen{Callers: freeAddress(s.t), Peers: peers[i], Operators: freeAddress(s.t)}
	settings.Platform.URL = "http://" + s.platformAddress
	files, err := persimkeys.CreateHostCertificate(s.dir, settings.Name, []net.IP{net.IPv4(127, 0, 0, 1)})
	require.NoError(s.t, err)
	settings.Keys = persimsettings.Keys{
		Authority: filepath.Join(s.dir, persimkeys.AuthorityCert), Cert: files.Cert, Key: files.Key,
	}
	settings.Drain.Lag = persimduration.Duration(time.Second)
	settings.Organisations = []persimsettings.Organisation{{Name: "consorzio", Digest: tokenDigest}}
	return settings
}

func (s *system) signal(host int, signal os.Signal) {
	require.NoError(s.t, s.processes[host].Process.Signal(signal))
}

// callReserve calls the at-most-once method reserve at a host and returns the error.
func (s *system) callReserve(host int, key string) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), 30*time.Second)
	defer cancel()
	client := persimwire.NewCallerServiceClient(http.DefaultClient, "http://"+s.settings[host].Listen.Callers)
	req := connect.NewRequest(&persimwire.CallRequest{Service: "stock", Method: "reserve", Key: key, Repeated: true})
	req.Header().Set("Authorization", "Bearer "+token)
	_, err := client.Call(ctx, req)
	return err
}

func (s *system) executions(key string) int {
	resp, err := http.Get("http://" + s.serviceAddress + "/runs")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var calls []persimstand.ExecutedCall
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&calls))
	count := 0
	for _, call := range calls {
		if call.Key == key {
			count++
		}
	}
	return count
}

// generate returns a persimctl command that reads a stream and resumes it at the other
// hosts when it breaks.
func (s *system) generate(host int, prompt string) *exec.Cmd {
	args := []string{
		"--callers", "http://" + s.settings[host].Listen.Callers, "--token", token,
		"generate", "--service", "match", "--prompt", prompt,
	}
	for i := range s.settings {
		if i != host {
			args = append(args, "--other", "http://"+s.settings[i].Listen.Callers)
		}
	}
	return exec.Command(filepath.Join(s.binDir, "persimctl"), args...)
}

// processFault is a fault of the process that owns a stream.
type processFault struct {
	name   string
	inject func(s *system)
}

// TestStreamsOfRealProcesses checks that a caller gets the whole answer when the host
// that owns the stream is killed or terminated.
func TestStreamsOfRealProcesses(t *testing.T) {
	for _, f := range []processFault{
		{"killed", func(s *system) { s.signal(0, syscall.SIGKILL) }},
		{"terminated", func(s *system) { s.signal(0, syscall.SIGTERM) }},
		{"killed while handing over", func(s *system) {
			s.signal(0, syscall.SIGTERM)
			time.Sleep(1100 * time.Millisecond)
			s.signal(0, syscall.SIGKILL)
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			cmd := s.generate(0, "match len=200")
			done := make(chan struct{})
			var output []byte
			var err error
			go func() {
				defer close(done)
				output, err = cmd.CombinedOutput()
			}()
			time.Sleep(1500 * time.Millisecond)
			f.inject(s)
			<-done
			require.NoError(t, err, string(output))
			require.Contains(t, string(output), strings.TrimSpace(persimstand.Answer("match len=200", 200)))
			require.Contains(t, string(output), "tokens=200")
		})
	}
}

// TestPausedOwner pauses a host while it writes the claim of a call, sends the same call
// to another host and resumes the first one. The call must not run twice.
func TestPausedOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	key := uuid.Must(uuid.NewV7()).String()
	s.postJSON(s.platformAddress, "/fault", persimstand.Fault{Delay: time.Second})
	first := make(chan error, 1)
	go func() { first <- s.callReserve(0, key) }()
	time.Sleep(500 * time.Millisecond)
	s.signal(0, syscall.SIGSTOP)
	s.postJSON(s.platformAddress, "/fault", persimstand.Fault{})
	second := s.callReserve(1, key)
	time.Sleep(8 * time.Second)
	s.signal(0, syscall.SIGCONT)
	t.Logf("the paused host answered: %v", <-first)
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, s.executions(key), 1)
	if second == nil {
		require.Equal(t, 1, s.executions(key))
	}
}
