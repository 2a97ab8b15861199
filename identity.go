package persimmonport

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"persimmonport.example/persimsettings"
	"persimmonport.example/persimwire"
)

// identities maps the SHA-256 digests of tokens to the names of their holders.
type identities struct {
	organisations map[string]string
	operators     map[string]string
}

func newIdentities(settings persimsettings.Settings) identities {
	ids := identities{organisations: map[string]string{}, operators: map[string]string{}}
	for _, o := range settings.Organisations {
		ids.organisations[strings.ToLower(o.Digest)] = o.Name
	}
	for _, o := range settings.Operators {
		ids.operators[strings.ToLower(o.Digest)] = o.Name
	}
	return ids
}

func tokenDigest(header http.Header) string {
	token, ok := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// holderOf returns the name of the holder of the token in a header.
func holderOf(holders map[string]string, header http.Header) (string, *persimwire.Refusal) {
	name, ok := holders[tokenDigest(header)]
	if !ok {
		return "", notRunRefusal(persimwire.Reason_REASON_UNAUTHENTICATED, "unknown token")
	}
	return name, nil
}

func (ids identities) organisation(header http.Header) (string, *persimwire.Refusal) {
	return holderOf(ids.organisations, header)
}

func (ids identities) operator(header http.Header) (string, *persimwire.Refusal) {
	return holderOf(ids.operators, header)
}
