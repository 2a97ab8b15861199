package persimkeys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// SecretBytes is the minimum length of a shared secret, and the length of a new
// one, in bytes.
const SecretBytes = 32

// NewSecret returns a random shared secret.
func NewSecret() ([]byte, error) {
	secret := make([]byte, SecretBytes)
	_, err := rand.Read(secret)
	return secret, trace.Wrap(err)
}

// A SharedIdentity is a TLS identity derived from a shared secret: each host proves to
// its peers that it holds the secret.
type SharedIdentity struct {
	cert      tls.Certificate
	publicKey ed25519.PublicKey
}

// NewSharedIdentity derives the identity from a secret. It returns an error if the secret
// is shorter than SecretBytes.
func NewSharedIdentity(secret []byte) (SharedIdentity, error) {
	if len(secret) < SecretBytes {
		return SharedIdentity{}, trace.BadParameter("shared secret has %d bytes, need at least %d", len(secret), SecretBytes)
	}
	seed := sha256.Sum256(secret)
	private := ed25519.NewKeyFromSeed(seed[:])
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return SharedIdentity{}, trace.BadParameter("cannot derive a public key from the shared secret")
	}
	template, err := newTemplate("persimmonport host", AuthorityLifetime)
	if err != nil {
		return SharedIdentity{}, trace.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return SharedIdentity{}, trace.Wrap(err)
	}
	return SharedIdentity{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, publicKey: public}, nil
}

// ServerConfig returns the TLS configuration of the accepting side.
func (s SharedIdentity) ServerConfig(protocol string) *tls.Config {
	config := s.ClientConfig(protocol)
	config.ClientAuth = tls.RequireAnyClientCert
	return config
}

// ClientConfig returns the TLS configuration of the dialling side. It verifies the
// peer's public key but not the names and validity period of its certificate, since
// clocks may jump.
func (s SharedIdentity) ClientConfig(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{s.cert},
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: s.verifyPeer,
		NextProtos:            []string{protocol},
	}
}

// verifyPeer checks that the peer's certificate has the public key derived from the
// shared secret.
func (s SharedIdentity) verifyPeer(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return trace.AccessDenied("peer sent no certificate")
	}
	cert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return trace.Wrap(err)
	}
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok || !key.Equal(s.publicKey) {
		return trace.AccessDenied("peer does not hold the shared secret")
	}
	return nil
}
