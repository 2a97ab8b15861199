package persimmonport

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRelayedTokensArriveOnce guards against tokens that are sent again from the next owner
// when the owner is killed while another host relays from it.
func TestRelayedTokensArriveOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		owner := d.entries[0]
		first := make(chan *streamResult, 1)
		go func() { first <- d.readStream(0, "match len=300", time.Minute) }()
		time.Sleep(time.Second)
		owned := owner.host.flights.Owned()
		require.Len(t, owned, 1)
		relaying := d.entries[1]
		if relaying.name == owned[0].Replica() {
			relaying = d.entries[2]
		}
		time.AfterFunc(time.Second, owner.kill)
		r := &streamResult{id: owned[0].ID()}
		require.NoError(t, d.readFromEntry(relaying, r, ""))
		require.Empty(t, r.offsetError)
		require.True(t, r.complete())
		require.True(t, (<-first).complete())
	})
}
