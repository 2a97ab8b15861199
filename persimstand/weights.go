package persimstand

import (
	"net/http"

	"golang.org/x/time/rate"
)

const (
	weightChunk     = 64 << 10
	weightBytes     = 4 << 20
	weightPerSecond = 8 << 20
)

// weightStore serves models at a limited rate, shared by all readers.
type weightStore struct {
	limit *rate.Limiter
}

func newWeightStore() *weightStore {
	return &weightStore{limit: rate.NewLimiter(weightPerSecond, weightChunk)}
}

// serve writes the weights of any model, paced by the limit.
func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, weightChunk)
	for sent := 0; sent < weightBytes; sent += weightChunk {
		if err := s.limit.WaitN(r.Context(), weightChunk); err != nil {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
