// Package persimkeys creates and loads the TLS certificates of the connections
// between entry hosts.
package persimkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Lifetimes of certificates. A certificate is valid from clockSkew before its
// creation, for peers whose clocks are behind.
const (
	AuthorityLifetime = 5 * 365 * 24 * time.Hour
	HostLifetime      = 90 * 24 * time.Hour
	clockSkew         = time.Hour
)

const (
	keyFileMode  = 0o600
	certFileMode = 0o644
	dirMode      = 0o755

	serialNumberBits = 120
)

// Names of the files that CreateAuthority writes and CreateHostCertificate reads.
const (
	AuthorityCert = "ca.pem"
	AuthorityKey  = "ca.key"
)

// A HostFiles lists the paths of one host's certificate and key.
type HostFiles struct {
	Cert string
	Key  string
}

// CreateAuthority creates a certificate authority and writes its certificate and key
// into a directory.
func CreateAuthority(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	template, err := newTemplate("persimmonport authority", AuthorityLifetime)
	if err != nil {
		return trace.Wrap(err)
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := writeCert(filepath.Join(dir, AuthorityCert), der); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeKey(filepath.Join(dir, AuthorityKey), key))
}

// CreateHostCertificate creates a certificate for a host name and its addresses, signed
// by the authority in the same directory, and writes it and its key there.
func CreateHostCertificate(dir, host string, addresses []net.IP) (HostFiles, error) {
	authority, signer, err := loadAuthority(dir)
	if err != nil {
		return HostFiles{}, trace.Wrap(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return HostFiles{}, trace.Wrap(err)
	}
	template, err := newTemplate(host, HostLifetime)
	if err != nil {
		return HostFiles{}, trace.Wrap(err)
	}
	template.DNSNames = []string{host}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, key.Public(), signer)
	if err != nil {
		return HostFiles{}, trace.Wrap(err)
	}
	files := HostFiles{Cert: filepath.Join(dir, host+".pem"), Key: filepath.Join(dir, host+".key")}
	if err := writeKey(files.Key, key); err != nil {
		return HostFiles{}, trace.Wrap(err)
	}
	return files, trace.Wrap(writeCert(files.Cert, der))
}

func newTemplate(commonName string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := readPEM(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	authority, err := x509.ParseCertificate(cert)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	der, err := readPEM(filepath.Join(dir, AuthorityKey))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	key, err := x509.ParseECPrivateKey(der)
	return authority, key, trace.Wrap(err)
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, trace.BadParameter("%s contains no PEM block", path)
	}
	return block.Bytes, nil
}

func writeCert(path string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(path, data, certFileMode))
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	data := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(path, data, keyFileMode))
}
