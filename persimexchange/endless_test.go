package persimexchange

import (
	"bytes"
	"context"
	"crypto/rand"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

// dialHost connects to a host as another one that has the shared secret.
func dialHost(t *testing.T, identity persimkeys.SharedIdentity, address string) *quic.Conn {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp4", address)
	require.NoError(t, err)
	udpConn, err := net.ListenUDP("udp4", nil)
	require.NoError(t, err)
	transport := &quic.Transport{Conn: udpConn}
	conn, err := transport.Dial(t.Context(), addr, identity.ClientConfig(alpnProtocol), quicConfig())
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.CloseWithError(0, "")
		_ = transport.Close()
		_ = udpConn.Close()
	})
	return conn
}

// sendEndless writes bytes on many streams of a connection until the time is over or the other
// side ends the streams.
func sendEndless(ctx context.Context, conn *quic.Conn, streams int) {
	block := make([]byte, 64<<10)
	_, _ = rand.Read(block)
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			stream, err := conn.OpenStreamSync(ctx)
			if err != nil {
				return
			}
			deadline, _ := ctx.Deadline()
			err = stream.SetWriteDeadline(deadline)
			for err == nil && ctx.Err() == nil {
				_, err = stream.Write(block)
			}
		})
	}
	wg.Wait()
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// TestEndlessMessagesNeedLittleMemory guards against a faulty host that sends messages without end
// on many streams at once: the memory that they take stays under a bound, and an exchange with a
// sound host goes on afterwards.
func TestEndlessMessagesNeedLittleMemory(t *testing.T) {
	const (
		streams        = 200
		sendTime       = 3 * time.Second
		maxMemoryBytes = 64 << 20
	)
	identity := sharedIdentity(t, 1)
	client, _ := newLinks(t, identity, "a")
	_, address := newLinks(t, identity, "b")
	conn := dialHost(t, identity, address)
	before := heapBytes()
	ctx, cancel := context.WithTimeout(t.Context(), sendTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendEndless(ctx, conn, streams)
	}()
	largest := uint64(0)
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		largest = max(largest, heapBytes())
	}
	<-done
	t.Logf("%d MB", (largest-before)>>20)
	require.Less(t, largest, before+maxMemoryBytes)
	require.Eventually(t, func() bool {
		_, err := exchange(t, client, address)
		return err == nil
	}, 5*time.Second, 100*time.Millisecond, "a sound host is answered")
}

// TestMessageThatIsTooLongIsAnError guards against a message that is cut at the limit and, since it
// ends with a whole field there, taken for a shorter one.
func TestMessageThatIsTooLongIsAnError(t *testing.T) {
	identity := sharedIdentity(t, 1)
	_, address := newLinks(t, identity, "b")
	conn := dialHost(t, identity, address)
	// A field of four bytes, so that the limit lies between two fields.
	whole, err := proto.Marshal(&persimwire.Exchange{Host: "ab"})
	require.NoError(t, err)
	message := bytes.Repeat(whole, 2+maxMessageBytes/len(whole))
	require.Zero(t, maxMessageBytes%len(whole))
	stream, err := conn.OpenStreamSync(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = stream.Write(message)
	if err == nil {
		err = stream.Close()
	}
	if err == nil {
		_, _, err = readMessage(stream, newReadMemory())
	}
	require.Error(t, err)
}

// TestMessageWithinTheLimitIsRead guards against a limit that leaves out the largest messages, and
// against room that is not given back.
func TestMessageWithinTheLimitIsRead(t *testing.T) {
	memory := newReadMemory().forConn()
	read := func(size int) (func(), error) {
		// The tag and the length of the field take five bytes.
		data, err := proto.Marshal(&persimwire.Exchange{Host: strings.Repeat("a", size-5)})
		require.NoError(t, err)
		_, release, err := readMessage(bytes.NewReader(data), memory)
		return release, err
	}
	for _, size := range []int{10, firstReadBytes, plainMessageBytes, 1 << 20, maxMessageBytes} {
		for range 2 * maxReadBytes / maxMessageBytes {
			release, err := read(size)
			require.NoError(t, err, size)
			release()
		}
	}
	_, err := read(maxMessageBytes + 1)
	require.ErrorIs(t, err, errMessageTooLong)
	require.True(t, memory.reserve(maxConnReadBytes), "nothing stays reserved")
	_, err = read(10)
	require.ErrorIs(t, err, errMemoryFull)
	other := memory.forConn()
	require.True(t, other.reserve(maxReadBytes-maxConnReadBytes), "another host has room")
}
