package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopIsNotLostInASeriesOfReloads guards against a host that did not notice its planned stop
// and was killed at the end of the grace period with requests in progress: signals to reload
// filled the channel in which the one to stop would have come.
func TestStopIsNotLostInASeriesOfReloads(t *testing.T) {
	const reloads = 20
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	t.Cleanup(func() {
		signal.Stop(stop)
		signal.Stop(reload)
	})
	blocked, release := make(chan struct{}, 1), make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		awaitStop(stop, reload, func() {
			select {
			case blocked <- struct{}{}:
			default:
			}
			<-release
		})
	}()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-blocked
	for range reloads {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return len(stop) == 1 }, 5*time.Second, time.Millisecond)
	close(release)
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the host goes on")
	}
}
