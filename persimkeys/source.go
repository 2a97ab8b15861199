package persimkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// A Source provides the current certificates of a host and follows their rotation.
type Source interface {
	// ServerConfig returns a configuration that demands a certificate of the authority.
	ServerConfig() *tls.Config
	// ClientConfig returns a configuration that presents the host's certificate.
	ClientConfig() *tls.Config
	// Reload reads the files again if they have changed and reports whether they did.
	// After an error the former certificates stay in force.
	Reload() (bool, error)
}

type bundle struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modified time.Time
}

type source struct {
	authority string
	files     HostFiles

	mu      sync.Mutex
	current bundle
}

// NewSource loads the certificates of a host. It returns an error when a file is
// missing or the key does not match.
func NewSource(authority string, files HostFiles) (Source, error) {
	s := &source{authority: authority, files: files}
	b, err := s.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.current = b
	return s, nil
}

func (s *source) load() (bundle, error) {
	modified, err := s.modified()
	if err != nil {
		return bundle{}, trace.Wrap(err)
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return bundle{}, trace.Wrap(err)
	}
	data, err := os.ReadFile(s.authority)
	if err != nil {
		return bundle{}, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return bundle{}, trace.BadParameter("%s holds no certificate", s.authority)
	}
	return bundle{cert: cert, roots: roots, modified: modified}, nil
}

func (s *source) modified() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{s.authority, s.files.Cert, s.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, trace.ConvertSystemError(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (s *source) Reload() (bool, error) {
	modified, err := s.modified()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if modified.Equal(s.snapshot().modified) {
		return false, nil
	}
	b, err := s.load()
	if err != nil {
		return false, trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = b
	return true, nil
}

func (s *source) snapshot() bundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			b := s.snapshot()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{b.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    b.roots,
				NextProtos:   []string{"h3"},
			}, nil
		},
	}
}

// ClientConfig verifies the peer against the authority in force at the time of
// the handshake, which the fixed RootCAs of a tls.Config cannot do.
func (s *source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert := s.snapshot().cert
			return &cert, nil
		},
	}
}

func (s *source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         s.snapshot().roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return trace.Wrap(err)
}
