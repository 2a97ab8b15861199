package persimflight

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"persimmonport.example/persimwire"
)

func newState(id string) *persimwire.Flight {
	return &persimwire.Flight{
		Id:           id,
		Organisation: "consorzio",
		Remaining:    durationpb.New(time.Minute),
		Retention:    durationpb.New(time.Minute),
	}
}

// pair is an owner and the holder of its replica.
type pair struct {
	owner   Table
	replica Table
	flight  *Flight
}

func newPair(t require.TestingT) pair {
	p := pair{owner: New("entry-0"), replica: New("entry-1")}
	f, added, err := p.owner.Add(newState("entry-0.entry-1.x"), "entry-1")
	require.NoError(t, err)
	require.True(t, added)
	p.flight = f
	return p
}

// replicate sends one update and loses the request or the response on demand.
func (p pair) replicate(loseRequest, loseResponse bool) {
	update := p.owner.Collect("entry-1", time.Now())
	if update.Empty() {
		return
	}
	if loseRequest {
		p.owner.Requeue(update)
		return
	}
	request := &persimwire.ReplicateRequest{Flights: update.Flights, Progress: update.Progress}
	rejections := p.replica.ApplyUpdate(request, time.Now())
	if loseResponse {
		p.owner.Requeue(update)
		return
	}
	p.owner.Confirm(update, rejections, "entry-1")
}

// released returns the text that a caller of the owner may have seen.
func released(t require.TestingT, f *Flight) string {
	view, err := f.View(0, nil)
	require.NoError(t, err)
	return strings.Join(view.Tokens, "")
}

// TestReplicaHoldsAllThatIsReleased promotes the replica at a random point of a
// random schedule and checks that it holds every token that the caller may have
// seen and that the former owner releases no more.
func TestReplicaHoldsAllThatIsReleased(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPair(rt)
		attempt := 1
		p.flight.BeginAttempt(attempt, "engine", "s")
		next := 0
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1, 2:
				if p.flight.Append(attempt, next, fmt.Sprintf("%d-%d ", attempt, next)) {
					next++
				}
			case 3:
				p.replicate(rapid.Bool().Draw(rt, "message lost"), rapid.Bool().Draw(rt, "answer lost"))
			case 4:
				attempt++
				p.flight.BeginAttempt(attempt, "engine", "s")
			case 5:
				late := rapid.IntRange(0, attempt-1).Draw(rt, "late attempt")
				require.False(rt, p.flight.Append(late, next, "late "))
			}
		}
		seen := released(rt, p.flight)
		promoted, ok := p.replica.Promote(p.flight.ID())
		if !ok {
			require.Empty(rt, seen)
			return
		}
		require.True(rt, strings.HasPrefix(released(rt, promoted), seen))
		p.flight.Append(attempt, next, "after ")
		p.replicate(false, false)
		require.Equal(rt, seen, released(rt, p.flight), "the former owner releases nothing more")
		role, movedTo := p.flight.Role()
		if role == RoleMoved {
			require.Equal(rt, "entry-1", movedTo)
		}
	})
}

func TestTokensAreNotReleasedBeforeTheReplicaHoldsThem(t *testing.T) {
	p := newPair(t)
	p.replicate(false, false)
	p.flight.BeginAttempt(1, "engine", "s")
	require.True(t, p.flight.Append(1, 0, "a"))
	require.Empty(t, released(t, p.flight))
	p.replicate(false, true)
	require.Empty(t, released(t, p.flight))
	p.replicate(false, false)
	require.Equal(t, "a", released(t, p.flight))
}

// TestFinalReplicationWaitsForAHolderThatLacksTheRequest confirms the final state by a
// former holder, after which the new holder reports that it does not know the request.
func TestFinalReplicationWaitsForAHolderThatLacksTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		require.True(t, p.flight.FinishCall([]byte("answer")))
		late := p.owner.Collect("entry-1", time.Now())
		p.flight.SetReplica("entry-2")
		p.owner.Confirm(late, nil, "entry-1")
		rejected := p.owner.Collect("entry-2", time.Now())
		unknown := []*persimwire.Rejection{{Id: p.flight.ID(), Cause: persimwire.RejectionCause_REJECTION_CAUSE_UNKNOWN}}
		p.owner.Confirm(rejected, unknown, "entry-2")

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.flight.AwaitFinalReplication(ctx)
		require.ErrorIs(t, ctx.Err(), context.DeadlineExceeded, "returned before the holder has the final state")

		p.owner.Confirm(p.owner.Collect("entry-2", time.Now()), nil, "entry-2")
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p.flight.AwaitFinalReplication(ctx)
		require.NoError(t, ctx.Err(), "waits although the holder has the final state")
	})
}

// appendCase is a token and whether Append adds it.
type appendCase struct {
	name    string
	attempt int
	offset  int
	want    bool
}

func TestAppend(t *testing.T) {
	for _, c := range []appendCase{
		{"next token", 2, 1, true},
		{"late attempt", 1, 1, false},
		{"future attempt", 3, 1, false},
		{"duplicate token", 2, 0, false},
		{"skipped token", 2, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t)
			p.flight.BeginAttempt(2, "engine", "s")
			require.True(t, p.flight.Append(2, 0, "a"))
			require.Equal(t, c.want, p.flight.Append(c.attempt, c.offset, "b"))
		})
	}
}

func TestFinishNeedsEveryToken(t *testing.T) {
	p := newPair(t)
	p.flight.BeginAttempt(1, "engine", "s")
	require.True(t, p.flight.Append(1, 0, "a"))
	require.False(t, p.flight.Finish(1, 2))
	require.False(t, p.flight.Finish(2, 1))
	require.True(t, p.flight.Finish(1, 1))
	require.False(t, p.flight.Append(1, 1, "b"))
	require.False(t, p.flight.Refuse(&persimwire.Refusal{}))
}

func TestHandoverKeepsTheExactState(t *testing.T) {
	p := newPair(t)
	p.flight.BeginAttempt(1, "engine", "s")
	require.True(t, p.flight.Append(1, 0, "a"))
	state, ok := p.owner.BeginHandover(p.flight.ID(), "entry-1", time.Now())
	require.True(t, ok)
	require.False(t, p.flight.Append(1, 1, "b"))
	promoted, err := p.replica.AcceptHandover(state, time.Now())
	require.NoError(t, err)
	require.Equal(t, "a", released(t, promoted))
	role, movedTo := p.flight.Role()
	require.Equal(t, RoleMoved, role)
	require.Equal(t, "entry-1", movedTo)
	again, err := p.replica.AcceptHandover(state, time.Now())
	require.NoError(t, err)
	require.Same(t, promoted, again)
}

func TestTableIsBounded(t *testing.T) {
	table := New("entry-0", WithLimit(2))
	for i := range 4 {
		_, _, err := table.Add(newState(fmt.Sprint(i)), "")
		require.NoError(t, err)
	}
	_, _, err := table.Add(newState("5"), "")
	require.ErrorIs(t, err, ErrFull)
	table.Evict(time.Now().Add(time.Hour))
	_, _, err = table.Add(newState("5"), "")
	require.NoError(t, err)
}

// TestHandoverHoldsAllThatIsReleased guards against tokens that a caller has seen but that
// the next owner lacks, since they were appended during the handover.
func TestHandoverHoldsAllThatIsReleased(t *testing.T) {
	const handovers = 2000
	for i := range handovers {
		owner := New("entry-0")
		f, _, err := owner.Add(newState(fmt.Sprint(i)), "")
		require.NoError(t, err)
		f.BeginAttempt(1, "engine", "s")
		begun := make(chan struct{})
		var appending sync.WaitGroup
		appending.Go(func() {
			f.Append(1, 0, "a")
			close(begun)
			for next := 1; f.Append(1, next, "a"); next++ {
			}
		})
		<-begun
		state, ok := owner.BeginHandover(f.ID(), "entry-1", time.Now())
		require.True(t, ok)
		appending.Wait()
		require.Equal(t, strings.Join(state.GetTokens(), ""), released(t, f))
	}
}
