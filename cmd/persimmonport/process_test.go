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

// system is a deployment of real processes on loopback.
type system struct {
	t         *testing.T
	bin       string
	folder    string
	platform  string
	service   string
	settings  []persimsettings.Settings
	processes []*exec.Cmd
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, bin: t.TempDir(), folder: t.TempDir(), platform: freePort(t), service: freePort(t)}
	build := exec.Command("go", "build", "-o", s.bin, "persimmonport.example/persimmonport/cmd/...")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	s.start("persimstand", "platform", "--listen", s.platform)
	s.awaitHTTP("http://" + s.platform + "/admin/counts")
	s.storeCatalogue()
	for range 2 {
		engine := freePort(t)
		s.start("persimstand", "engine", "--listen", engine, "--gap", "20ms")
		s.list(engine, "oracolo")
	}
	s.start("persimstand", "service", "--listen", s.service)
	s.list(s.service, "banco")
	require.NoError(t, persimkeys.MakeAuthority(s.folder))
	s.startHosts()
	return s
}

func (s *system) start(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(s.bin, program), args...)
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
		{Name: "stock", Group: "banco", Profile: "any", Once: []string{"reserve"}},
	} {
		catalogue, err = catalogue.WithService(service, persimprofile.Change{ID: service.Name})
		require.NoError(s.t, err)
	}
	value, err := persimprofile.Marshal(catalogue)
	require.NoError(s.t, err)
	platform, cleanup := persimplatform.New("http://" + s.platform)
	defer cleanup()
	_, err = platform.Put(s.t.Context(), persimplatform.Object{Name: persimprofile.ObjectName, Value: value})
	require.NoError(s.t, err)
}

func (s *system) post(address, path string, value any) {
	data, err := json.Marshal(value)
	require.NoError(s.t, err)
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(string(data)))
	require.NoError(s.t, err)
	_ = resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
}

func (s *system) list(address, group string) {
	s.post(s.platform, "/admin/hosts", persimplatform.Host{
		Name: address, Address: address, Incarnation: "1", Group: group, State: persimplatform.HostLive,
	})
}

func (s *system) startHosts() {
	peers := make([]string, hostCount)
	for i := range peers {
		peers[i] = freePort(s.t)
	}
	for i := range peers {
		settings := s.newSettings(i, peers)
		data, err := toml.Marshal(settings)
		require.NoError(s.t, err)
		path := filepath.Join(s.folder, settings.Name+".toml")
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
	settings.Listen = persimsettings.Listen{Callers: freePort(s.t), Peers: peers[i], Operators: freePort(s.t)}
	settings.Platform.URL = "http://" + s.platform
	files, err := persimkeys.MakeHost(s.folder, settings.Name, []net.IP{net.IPv4(127, 0, 0, 1)})
	require.NoError(s.t, err)
	settings.Keys = persimsettings.Keys{
		Authority: filepath.Join(s.folder, persimkeys.AuthorityCert), Cert: files.Cert, Key: files.Key,
	}
	settings.Drain.Lag = persimduration.Duration(time.Second)
	settings.Organisations = []persimsettings.Organisation{{Name: "consorzio", Digest: tokenDigest}}
	return settings
}

func (s *system) signal(host int, signal os.Signal) {
	require.NoError(s.t, s.processes[host].Process.Signal(signal))
}

// order sends one order to a host and returns the error of the call.
func (s *system) order(host int, key string) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), 30*time.Second)
	defer cancel()
	client := persimwire.NewCallerServiceClient(http.DefaultClient, "http://"+s.settings[host].Listen.Callers)
	req := connect.NewRequest(&persimwire.CallRequest{Service: "stock", Method: "reserve", Key: key, Repeated: true})
	req.Header().Set("Authorization", "Bearer "+token)
	_, err := client.Call(ctx, req)
	return err
}

func (s *system) runs(key string) int {
	resp, err := http.Get("http://" + s.service + "/runs")
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	var runs []persimstand.Run
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&runs))
	count := 0
	for _, run := range runs {
		if run.Key == key {
			count++
		}
	}
	return count
}

// generate reads a stream with persimctl, which resumes it at the other hosts.
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
	return exec.Command(filepath.Join(s.bin, "persimctl"), args...)
}

// processFault is what happens to a host while it owns a stream.
type processFault struct {
	name  string
	cause func(s *system)
}

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
			f.cause(s)
			<-done
			require.NoError(t, err, string(output))
			require.Contains(t, string(output), strings.TrimSpace(persimstand.Answer("match len=200", 200)))
			require.Contains(t, string(output), "tokens=200")
		})
	}
}

// TestPausedOwner stops a host while it claims an order, asks for the same order
// at another host, and lets the first one go on.
func TestPausedOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	key := uuid.Must(uuid.NewV7()).String()
	s.post(s.platform, "/fault", persimstand.Fault{Delay: time.Second})
	first := make(chan error, 1)
	go func() { first <- s.order(0, key) }()
	time.Sleep(500 * time.Millisecond)
	s.signal(0, syscall.SIGSTOP)
	s.post(s.platform, "/fault", persimstand.Fault{})
	second := s.order(1, key)
	time.Sleep(8 * time.Second)
	s.signal(0, syscall.SIGCONT)
	t.Logf("the paused host answered: %v", <-first)
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, s.runs(key), 1)
	if second == nil {
		require.Equal(t, 1, s.runs(key))
	}
}
