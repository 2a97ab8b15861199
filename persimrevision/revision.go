// Package persimrevision identifies states of a store that may come back from an older copy
// of itself and then gives out the same numbers again.
package persimrevision

import (
	"cmp"
	"fmt"
)

// Era counts how often the store has come back from an older copy. Zero is the era of a store
// that names none.
type Era int64

const (
	// eraBits and numberBits are the sizes of the parts of an ordinal. Together they keep it
	// exact as a JSON number, which many decoders read as a double.
	eraBits    = 13
	numberBits = 40
	// MaxEra is the highest era that an ordinal can hold.
	MaxEra    Era = 1<<eraBits - 1
	maxNumber     = 1<<numberBits - 1
)

// Revision is a state of the store. The zero value stands for none.
type Revision struct {
	Era Era
	// Number increases with each change within an era. A later era goes on from a number that
	// the former one has given out already.
	Number int64
}

// Compare returns -1, 0 or 1 if r is before, the same as or after another revision.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is a later state of the store than another revision.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// String formats the revision for the log.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// Ordinal returns the revision as one number in the same order. The ordinal of era zero is the
// number itself.
func (r Revision) Ordinal() int64 {
	return int64(min(r.Era, MaxEra))<<numberBits | max(0, min(r.Number, maxNumber))
}

// FromOrdinal returns the revision of an ordinal.
func FromOrdinal(ordinal int64) Revision {
	return Revision{Era: Era(ordinal >> numberBits), Number: ordinal & maxNumber}
}
