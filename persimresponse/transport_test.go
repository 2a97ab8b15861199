package persimresponse

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransport guards against a head that passes unchecked on a connection that serves several
// requests, with and without TLS.
func TestTransport(t *testing.T) {
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			connections := map[string]bool{}
			server := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				connections[r.RemoteAddr] = true
				if r.URL.Path != "/malformed" {
					_, _ = io.WriteString(w, "good")
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n")
			}))
			defer server.Close()
			base := &http.Transport{}
			if certificate := server.Certificate(); certificate != nil {
				roots := x509.NewCertPool()
				roots.AddCert(certificate)
				base.TLSClientConfig = &tls.Config{RootCAs: roots}
			}
			client := &http.Client{Transport: NewTransport(base, &net.Dialer{Timeout: time.Second}), Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for range 3 {
				resp, err := client.Get(server.URL)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "good", string(body))
				_ = resp.Body.Close()
			}
			require.Len(t, connections, 1)
			_, err := client.Post(server.URL+"/malformed", "", nil)
			require.ErrorIs(t, err, ErrMalformed)
		})
	}
}

func TestTLSNeedsTheServersCertificate(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	client := &http.Client{Transport: NewTransport(&http.Transport{}, &net.Dialer{}), Timeout: 5 * time.Second}
	_, err := client.Get(server.URL)
	var unknown x509.UnknownAuthorityError
	require.ErrorAs(t, err, &unknown)
}
