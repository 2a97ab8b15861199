package persimledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"persimmonport.example/persimplatform"
)

// faultyStore stores objects in memory and injects the faults of its plan, one per
// call.
type faultyStore struct {
	mu          sync.Mutex
	objects     map[string]persimplatform.Object
	lastVersion uint64
	plan        []storeFault
	calls       int
	reads       int
}

type storeFault int

const (
	faultNone storeFault = iota
	faultResponseLost
	faultUnavailable
	faultSlowWrite
)

func newFaultyStore(plan ...storeFault) *faultyStore {
	return &faultyStore{objects: map[string]persimplatform.Object{}, plan: plan}
}

func (s *faultyStore) nextFault() storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(s.plan) == 0 {
		return faultNone
	}
	f := s.plan[0]
	s.plan = s.plan[1:]
	return f
}

func (s *faultyStore) Get(_ context.Context, name string) (persimplatform.Object, error) {
	f := s.nextFault()
	time.Sleep(time.Millisecond)
	if f == faultUnavailable {
		return persimplatform.Object{}, persimplatform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	object, ok := s.objects[name]
	if !ok {
		return object, persimplatform.ErrNotFound
	}
	return object, nil
}

func (s *faultyStore) Put(_ context.Context, object persimplatform.Object) (persimplatform.Object, error) {
	f := s.nextFault()
	time.Sleep(time.Millisecond)
	if f == faultUnavailable {
		return object, persimplatform.ErrUnavailable
	}
	stored, err := s.write(object)
	if f == faultSlowWrite {
		time.Sleep(300 * time.Millisecond)
	}
	if f == faultResponseLost {
		return object, persimplatform.ErrUncertain
	}
	return stored, err
}

func (s *faultyStore) write(object persimplatform.Object) (persimplatform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[object.Name].Version != object.Version {
		return object, persimplatform.ErrConflict
	}
	s.lastVersion++
	object.Version = s.lastVersion
	s.objects[object.Name] = object
	return object, nil
}

// testClaim returns the claim of a claimant for a key.
func testClaim(t require.TestingT, key string, token uint64) Claim {
	claim, err := NewClaim("consorzio", "stock", key, []byte("body"))
	require.NoError(t, err)
	return claim.WithClaimant(token, fmt.Sprint("request-", token))
}

func newTestKey(t require.TestingT, at time.Time, serial byte) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, serial
	parsed, err := uuid.Parse(id.String())
	require.NoError(t, err)
	return parsed.String()
}

// TestClaimIsGrantedOnce checks that at most one of several hosts is granted each key
// while the store loses responses, is unavailable or is slow.
func TestClaimIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 4).Draw(rt, "hosts")
		keys := rapid.IntRange(1, 4).Draw(rt, "keys")
		plan := rapid.SliceOfN(rapid.SampledFrom([]storeFault{faultNone, faultResponseLost, faultUnavailable, faultSlowWrite}), 0, 20).Draw(rt, "plan")
		timeouts := rapid.SliceOfN(rapid.IntRange(1, 400), hosts*keys, hosts*keys).Draw(rt, "waits")
		synctest.Test(t, func(*testing.T) {
			granted, results := claimAll(rt, hosts, keys, plan, timeouts)
			for key, count := range granted {
				require.LessOrEqual(rt, count, 1, "grants of %s", key)
			}
			require.Equal(rt, hosts*keys, results)
		})
	})
}

func claimAll(rt *rapid.T, hosts, keys int, plan []storeFault, timeouts []int) (map[string]int, int) {
	store := newFaultyStore(plan...)
	var mu sync.Mutex
	var running sync.WaitGroup
	granted := map[string]int{}
	results := 0
	keyNames := make([]string, keys)
	for k := range keys {
		keyNames[k] = newTestKey(rt, time.Now(), byte(k))
	}
	for h := range hosts {
		ledger, cleanup := New(store, WithSlices(2))
		defer cleanup()
		for k, name := range keyNames {
			running.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeouts[h*keys+k])*time.Millisecond)
				defer cancel()
				claim := testClaim(rt, name, uint64(1+h*keys+k))
				inForce, err := ledger.Claim(ctx, claim)
				mu.Lock()
				defer mu.Unlock()
				results++
				if err == nil && inForce.GrantedTo(claim) {
					granted[name]++
				}
			})
		}
	}
	running.Wait()
	time.Sleep(5 * time.Second)
	return granted, results
}

func TestLostResponseIsRecognised(t *testing.T) {
	for _, plan := range [][]storeFault{
		{faultNone, faultResponseLost},
		{faultNone, faultResponseLost, faultNone, faultResponseLost},
		{faultUnavailable, faultNone, faultResponseLost, faultUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			ledger, cleanup := New(newFaultyStore(plan...))
			defer cleanup()
			claim := testClaim(t, newTestKey(t, time.Now(), 1), 7)
			inForce, err := ledger.Claim(t.Context(), claim)
			require.NoError(t, err)
			require.True(t, inForce.GrantedTo(claim))
		})
	}
}

func TestOutcomeIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		ledger, cleanup := New(store)
		defer cleanup()
		key := newTestKey(t, time.Now(), 1)
		claim := testClaim(t, key, 7)
		_, err := ledger.Claim(t.Context(), claim)
		require.NoError(t, err)
		ledger.RecordOutcome(claim.WithState(StateDone))
		ledger.RecordOutcome(claim.WithState(StateNotRun))
		ledger.RecordOutcome(testClaim(t, key, 8).WithState(StateNotRun))
		time.Sleep(time.Second)
		other, closeOther := New(store)
		defer closeOther()
		inForce, err := other.Claim(t.Context(), testClaim(t, key, 9))
		require.NoError(t, err)
		require.Equal(t, StateDone, inForce.State)
		require.Equal(t, "request-7", inForce.RequestID)
	})
}

func TestTimedOutClaimIsRecordedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(faultNone, faultSlowWrite)
		ledger, cleanup := New(store)
		defer cleanup()
		key := newTestKey(t, time.Now(), 1)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := ledger.Claim(ctx, testClaim(t, key, 7))
		require.ErrorIs(t, err, ErrNotGranted)
		time.Sleep(2 * time.Second)
		inForce, found, err := ledger.Lookup(t.Context(), testClaim(t, key, 8))
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, StateNotRun, inForce.State)
	})
}

// keyCase is a key of a given age and the expected error.
type keyCase struct {
	name string
	age  time.Duration
	want error
}

func TestKeysOutsideTheWindow(t *testing.T) {
	for _, c := range []keyCase{
		{"too old", 25 * time.Hour, ErrKeyExpired},
		{"from the future", -time.Hour, ErrKeyInFuture},
		{"little skew", -time.Minute, nil},
		{"old enough", 23 * time.Hour, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ledger, cleanup := New(newFaultyStore())
				defer cleanup()
				_, err := ledger.Claim(t.Context(), testClaim(t, newTestKey(t, time.Now().Add(-c.age), 1), 7))
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

// TestPrunedSliceStaysClosed checks that a pruned key stays expired for a host that
// still regards it as recent, such as one whose clock was set back.
func TestPrunedSliceStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore()
		ledger, cleanup := New(store, WithRetention(time.Hour))
		defer cleanup()
		key := newTestKey(t, time.Now(), 1)
		_, err := ledger.Claim(t.Context(), testClaim(t, key, 7))
		require.NoError(t, err)
		for range 12 {
			time.Sleep(10 * time.Minute)
			require.NoError(t, ledger.Prune(t.Context(), time.Now()))
		}
		late, closeLate := New(store, WithRetention(24*time.Hour))
		defer closeLate()
		_, err = late.Claim(t.Context(), testClaim(t, key, 8))
		require.ErrorIs(t, err, ErrKeyExpired)
	})
}

func TestDuplicateNeedsNoPlatformCall(t *testing.T) {
	const duplicates = 20
	for cached, calls := range map[bool]int{true: 0, false: duplicates} {
		synctest.Test(t, func(t *testing.T) {
			store := newFaultyStore()
			ledger, cleanup := New(store, WithCachedAnswers(cached))
			defer cleanup()
			key := newTestKey(t, time.Now(), 1)
			_, err := ledger.Claim(t.Context(), testClaim(t, key, 7))
			require.NoError(t, err)
			before := store.calls
			for token := range uint64(duplicates) {
				inForce, err := ledger.Claim(t.Context(), testClaim(t, key, 100+token))
				require.NoError(t, err)
				require.Equal(t, uint64(7), inForce.ClaimantToken)
			}
			require.Equal(t, before+calls, store.calls)
		})
	}
}

func TestInvalidKeys(t *testing.T) {
	for _, key := range []string{"", "x", "00000000-0000-4000-8000-000000000000", "not-a-uuid-at-all-but-rather-long"} {
		_, err := NewClaim("consorzio", "stock", key, nil)
		require.ErrorIs(t, err, ErrInvalidKey)
	}
}

func TestKeysDifferByOrganisation(t *testing.T) {
	key := newTestKey(t, time.Now(), 1)
	first, err := NewClaim("consorzio", "stock", key, nil)
	require.NoError(t, err)
	second, err := NewClaim("apem", "stock", key, nil)
	require.NoError(t, err)
	require.NotEqual(t, first.Key, second.Key)
}
