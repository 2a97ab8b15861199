// Package persimledger grants claims: the right to send a call that must run at
// most once.
//
// A claim is granted by a conditional write of an object in the platform's store.
// The decision uses neither clocks nor leases. A claim only moves forward: absent,
// claimed, then done or not run.
package persimledger

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"persimmonport.example/persimwire"
)

// Errors that a Ledger returns; callers test for them with errors.Is.
var (
	// ErrNotGranted reports that no claim was granted in time. The claimant must not
	// send the call.
	ErrNotGranted = errors.New("ledger: claim not granted in time")
	// ErrKeyExpired reports a key older than the retention window. Whether its call ran
	// is unknown.
	ErrKeyExpired = errors.New("ledger: key is older than the retention window")
	// ErrKeyInFuture reports a key whose time is ahead of the host's clock by more than the
	// permitted clock skew.
	ErrKeyInFuture = errors.New("ledger: key time lies in the future")
	// ErrInvalidKey reports a key that is not a UUID of version 7.
	ErrInvalidKey = errors.New("ledger: key is not a UUID of version 7")
	// ErrQueueFull reports that the queue of operations waiting for the platform is full.
	ErrQueueFull = errors.New("ledger: too many waiting claims")
)

const (
	keyHashBytes  = 16
	bodyHashBytes = 8
)

// Key identifies a call by the hash of its organisation, its service and the caller's
// key.
type Key [keyHashBytes]byte

// State is the progress of a claim.
type State int

// States of a claim. StateClaimed is followed by StateDone or StateNotRun; both are
// final.
const (
	StateClaimed State = iota + 1
	StateDone
	StateNotRun
)

// Claim is the right of one claimant to send one call.
type Claim struct {
	Key Key
	// Issued is the timestamp in the caller's key.
	Issued time.Time
	// BodyHash is the truncated SHA-256 of the call's body.
	BodyHash [bodyHashBytes]byte
	// ClaimantToken is a random number that identifies the claimant.
	ClaimantToken uint64
	State         State
	// RequestID is the claimant's request identifier.
	RequestID string
}

// NewClaim returns a claim for a call, without a claimant. It returns ErrInvalidKey
// when the caller's key is not a UUID of version 7.
func NewClaim(organisation, service, key string, body []byte) (Claim, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return Claim{}, trace.Wrap(ErrInvalidKey)
	}
	seconds, nanos := parsed.Time().UnixTime()
	claim := Claim{Issued: time.Unix(seconds, nanos), State: StateClaimed}
	keyHash := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + parsed.String()))
	copy(claim.Key[:], keyHash[:])
	bodyHash := sha256.Sum256(body)
	copy(claim.BodyHash[:], bodyHash[:])
	return claim, nil
}

// WithClaimant returns a copy of the claim for a claimant.
func (c Claim) WithClaimant(token uint64, id string) Claim {
	c.ClaimantToken = token
	c.RequestID = id
	return c
}

// WithState returns a copy of the claim in another state.
func (c Claim) WithState(state State) Claim {
	c.State = state
	return c
}

// GrantedTo reports whether the claim in force permits the claimant to send its call.
func (c Claim) GrantedTo(claimant Claim) bool {
	return c.ClaimantToken == claimant.ClaimantToken && c.State == StateClaimed
}

// SameBody reports whether both claims are for calls with the same body.
func (c Claim) SameBody(other Claim) bool {
	return c.BodyHash == other.BodyHash
}

// sliceName returns the name of the stored slice that holds the claim.
func (c Claim) sliceName(slices int, span time.Duration) string {
	shard := binary.BigEndian.Uint16(c.Key[:]) % uint16(slices)
	return formatSliceName(c.Issued.Truncate(span), int(shard))
}

func formatSliceName(start time.Time, shard int) string {
	return fmt.Sprintf("claims-%d-%d", start.Unix(), shard)
}

// ToWire converts a claim to its protobuf message.
func ToWire(c Claim) *persimwire.Claim {
	return &persimwire.Claim{
		Key:   c.Key[:],
		Body:  c.BodyHash[:],
		Token: c.ClaimantToken,
		State: persimwire.ClaimState(c.State),
		Id:    c.RequestID,
	}
}

// FromWire converts a protobuf message to a claim. The message has no Issued time.
func FromWire(wire *persimwire.Claim) Claim {
	c := Claim{ClaimantToken: wire.GetToken(), State: State(wire.GetState()), RequestID: wire.GetId()}
	copy(c.Key[:], wire.GetKey())
	copy(c.BodyHash[:], wire.GetBody())
	return c
}
