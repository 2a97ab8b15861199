package persimkeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// A Source provides the current certificates of a host and supports their rotation.
type Source interface {
	// ServerConfig returns a configuration that requires client certificates signed
	// by the authority.
	ServerConfig() *tls.Config
	// ClientConfig returns a configuration that presents the host's certificate.
	ClientConfig() *tls.Config
	// Reload reloads the files if they have changed and reports whether they did.
	// After an error, the previous certificates stay in force.
	Reload() (bool, error)
}

// credentials are the certificates loaded from one version of the files.
type credentials struct {
	cert    tls.Certificate
	roots   *x509.CertPool
	modTime time.Time
}

type source struct {
	authorityPath string
	hostFiles     HostFiles

	mu      sync.Mutex
	current credentials
}

// NewSource loads the certificates of a host. It returns an error when a file is
// missing or the key does not match.
func NewSource(authority string, files HostFiles) (Source, error) {
	s := &source{authorityPath: authority, hostFiles: files}
	loaded, err := s.load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.current = loaded
	return s, nil
}

func (s *source) load() (credentials, error) {
	modTime, err := s.latestModTime()
	if err != nil {
		return credentials{}, trace.Wrap(err)
	}
	cert, err := tls.LoadX509KeyPair(s.hostFiles.Cert, s.hostFiles.Key)
	if err != nil {
		return credentials{}, trace.Wrap(err)
	}
	authorityPEM, err := os.ReadFile(s.authorityPath)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityPEM) {
		return credentials{}, trace.BadParameter("%s contains no certificate", s.authorityPath)
	}
	return credentials{cert: cert, roots: roots, modTime: modTime}, nil
}

// latestModTime returns the latest modification time of the files.
func (s *source) latestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{s.authorityPath, s.hostFiles.Cert, s.hostFiles.Key} {
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
	modTime, err := s.latestModTime()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if modTime.Equal(s.snapshot().modTime) {
		return false, nil
	}
	loaded, err := s.load()
	if err != nil {
		return false, trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = loaded
	return true, nil
}

func (s *source) snapshot() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.snapshot()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.roots,
				NextProtos:   []string{"h3"},
			}, nil
		},
	}
}

// ClientConfig returns a configuration that verifies the server in
// VerifyConnection, against the authority in force at the time of the handshake.
// RootCAs of a tls.Config are fixed and would not follow a rotation.
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
