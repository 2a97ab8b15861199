package persimstand

import (
	"net/http"

	"golang.org/x/time/rate"
)

const (
	weightChunkBytes     = 64 << 10
	weightBytes          = 4 << 20
	weightBytesPerSecond = 8 << 20
)

// weightStore serves model weights at a limited rate that all readers share.
type weightStore struct {
	limiter *rate.Limiter
}

func newWeightStore() *weightStore {
	return &weightStore{limiter: rate.NewLimiter(weightBytesPerSecond, weightChunkBytes)}
}

// serve writes the weights of a model at the limited rate. All models have the same
// weights.
func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, weightChunkBytes)
	for sent := 0; sent < weightBytes; sent += weightChunkBytes {
		if err := s.limiter.WaitN(r.Context(), weightChunkBytes); err != nil {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
