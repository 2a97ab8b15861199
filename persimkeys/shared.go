package persimkeys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/gravitational/trace"
)

// SecretBytes is the length of a shared secret, in bytes.
const SecretBytes = 32

// NewSecret returns a random shared secret.
func NewSecret() ([]byte, error) {
	secret := make([]byte, SecretBytes)
	_, err := rand.Read(secret)
	return secret, trace.Wrap(err)
}

// A Shared is the identity of hosts that know one secret: each proves to the
// others that it knows it.
type Shared struct {
	cert tls.Certificate
	key  ed25519.PublicKey
}

// NewShared returns the identity that a secret gives, or an error where the
// secret is short.
func NewShared(secret []byte) (Shared, error) {
	if len(secret) < SecretBytes {
		return Shared{}, trace.BadParameter("shared secret has %d bytes, wanted %d", len(secret), SecretBytes)
	}
	seed := sha256.Sum256(secret)
	private := ed25519.NewKeyFromSeed(seed[:])
	public, ok := private.Public().(ed25519.PublicKey)
	if !ok {
		return Shared{}, trace.BadParameter("shared secret gives no public key")
	}
	template, err := newTemplate("persimmonport host", AuthorityLifetime)
	if err != nil {
		return Shared{}, trace.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return Shared{}, trace.Wrap(err)
	}
	return Shared{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, key: public}, nil
}

// ServerConfig returns settings for the accepting side.
func (s Shared) ServerConfig(protocol string) *tls.Config {
	c := s.ClientConfig(protocol)
	c.ClientAuth = tls.RequireAnyClientCert
	return c
}

// ClientConfig returns settings for the dialling side. The names and times of
// certificates are not checked, since clocks may jump; the key is.
func (s Shared) ClientConfig(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{s.cert},
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: s.verify,
		NextProtos:            []string{protocol},
	}
}

func (s Shared) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return trace.AccessDenied("the other host sent no certificate")
	}
	cert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return trace.Wrap(err)
	}
	key, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok || !key.Equal(s.key) {
		return trace.AccessDenied("the other host does not hold the shared secret")
	}
	return nil
}
