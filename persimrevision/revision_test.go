package persimrevision

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOrder(t *testing.T) {
	ascending := []Revision{{}, {0, 7}, {0, maxNumber}, {1, 0}, {1, 6}, {1, 7}, {2, 1}, {MaxEra, 0}, {MaxEra, maxNumber}}
	for i, a := range ascending {
		for j, b := range ascending {
			require.Equal(t, i > j, a.After(b), "%s after %s", a, b)
			require.Equal(t, i > j, a.Ordinal() > b.Ordinal(), "ordinals of %s and %s", a, b)
		}
		require.Equal(t, a, FromOrdinal(a.Ordinal()))
	}
}

// Guards against a fencing token that a decoder of JSON numbers rounds to that of another
// holder.
func TestOrdinalIsExactAsADouble(t *testing.T) {
	last := Revision{Era: MaxEra, Number: maxNumber}.Ordinal()
	require.Equal(t, last, int64(float64(last)))
	require.NotEqual(t, float64(last-1), float64(last))
}

func TestOrdinalOfEraZeroIsTheNumber(t *testing.T) {
	require.EqualValues(t, 12, Revision{Number: 12}.Ordinal())
}
