// Package persimledger grants the right to send a call that must run at most once.
//
// A claim is granted by a conditional update of an object at the platform. No
// clock and no lease takes part in the decision. Claims only move forward:
// absent, claimed, then done or not run.
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
	// ErrUnclaimed reports that no claim was granted in time. The caller must not send.
	ErrUnclaimed = errors.New("ledger: claim not granted in time")
	// ErrExpired reports a key from before the retention window. Whether it ran is unknown.
	ErrExpired = errors.New("ledger: key is older than the retention window")
	// ErrFuture reports a key whose time lies ahead of the host's clock.
	ErrFuture = errors.New("ledger: key time lies in the future")
	// ErrKey reports a key that is not a UUID of version 7.
	ErrKey = errors.New("ledger: key is not a UUID of version 7")
	// ErrFull reports that too many claims wait for the platform.
	ErrFull = errors.New("ledger: too many waiting claims")
)

const (
	keyBytes  = 16
	bodyBytes = 8
)

// A Key identifies a call of one organisation.
type Key [keyBytes]byte

// A State is the progress of a claim.
type State int

// States of a claim, in the only order in which they may follow each other.
const (
	StateClaimed State = iota + 1
	StateDone
	StateNotRun
)

// A Claim is the right of one claimant to send one call.
type Claim struct {
	Key Key
	// Issued is the time inside the caller's key.
	Issued time.Time
	Body   [bodyBytes]byte
	// Token is the random number of the claimant.
	Token uint64
	State State
	// ID is the request identifier of the claimant.
	ID string
}

// NewClaim returns the claim of a claimant for a caller's key.
// It returns ErrKey when the key is not a UUID of version 7.
func NewClaim(organisation, service, key string, body []byte) (Claim, error) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return Claim{}, trace.Wrap(ErrKey)
	}
	seconds, nanos := parsed.Time().UnixTime()
	claim := Claim{Issued: time.Unix(seconds, nanos), State: StateClaimed}
	identity := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + parsed.String()))
	copy(claim.Key[:], identity[:])
	content := sha256.Sum256(body)
	copy(claim.Body[:], content[:])
	return claim, nil
}

// WithClaimant returns a copy of the claim for a claimant.
func (c Claim) WithClaimant(token uint64, id string) Claim {
	c.Token = token
	c.ID = id
	return c
}

// WithState returns a copy of the claim in another state.
func (c Claim) WithState(state State) Claim {
	c.State = state
	return c
}

// GrantedTo reports whether the claim in force permits the claimant to send.
func (c Claim) GrantedTo(claimant Claim) bool {
	return c.Token == claimant.Token && c.State == StateClaimed
}

// SameBody reports whether both claims are for the same call.
func (c Claim) SameBody(other Claim) bool {
	return c.Body == other.Body
}

func (c Claim) slice(slices int, span time.Duration) string {
	part := binary.BigEndian.Uint16(c.Key[:]) % uint16(slices)
	return sliceName(c.Issued.Truncate(span), int(part))
}

func sliceName(start time.Time, part int) string {
	return fmt.Sprintf("claims-%d-%d", start.Unix(), part)
}

// ToWire returns the wire form of a claim.
func ToWire(c Claim) *persimwire.Claim {
	return &persimwire.Claim{
		Key:   c.Key[:],
		Body:  c.Body[:],
		Token: c.Token,
		State: persimwire.ClaimState(c.State),
		Id:    c.ID,
	}
}

// FromWire returns the claim of its wire form; the time of the key is not part of it.
func FromWire(wire *persimwire.Claim) Claim {
	c := Claim{Token: wire.GetToken(), State: State(wire.GetState()), ID: wire.GetId()}
	copy(c.Key[:], wire.GetKey())
	copy(c.Body[:], wire.GetBody())
	return c
}
