package persimstand

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func post(t *testing.T, handler http.Handler, path, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code
}

func TestEngineRejectsOldFencingTokensIfConfigured(t *testing.T) {
	for check, want := range map[bool]int{true: http.StatusConflict, false: http.StatusOK} {
		config := DefaultEngineConfig()
		config.CheckFence = check
		handler := NewEngine(config).Handler()
		require.Equal(t, http.StatusOK, post(t, handler, "/v1/orders", `{"model":"a","fence":7}`))
		require.Equal(t, want, post(t, handler, "/v1/orders", `{"model":"b","fence":6}`))
	}
}

func TestServiceRejectsOldFencingTokens(t *testing.T) {
	service := NewService("1", true)
	handler := service.Handler()
	for _, test := range []struct {
		fence string
		want  int
	}{{"7", http.StatusOK}, {"6", http.StatusConflict}} {
		r := httptest.NewRequest(http.MethodPost, "/call/reserve", nil)
		r.Header.Set("X-Fence", test.fence)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		require.Equal(t, test.want, w.Code)
	}
	require.Len(t, service.ExecutedCalls(), 1)
}

func TestCacheEventsAreLost(t *testing.T) {
	orders := engineOrders{}
	for range 2 * eventLossInterval {
		orders.recordCacheEvent("prompt", false)
	}
	require.Len(t, orders.events, 2*eventLossInterval-2)
}
