package pinner

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxPins limits the pins in the memory of one instance; the least recently used ones are evicted.
const maxPins = 200_000

// maxTokenBytes limits the length of a caller's token.
const maxTokenBytes = 1024

// Pin assigns a session to the version of a model that serves it.
type Pin struct {
	Workspace string `cbor:"1,keyasint"`
	Session   string `cbor:"2,keyasint"`
	Model     string `cbor:"3,keyasint"`
	Version   string `cbor:"4,keyasint"`
}

type pinKey struct {
	workspace string
	session   string
	model     string
}

// entry is a cached pin with its token; the token is empty until it is first signed.
type entry struct {
	version string
	token   string
}

// Pinner caches pins and signs them as tokens.
type Pinner struct {
	secret []byte
	pins   *lru.Cache[pinKey, entry]
}

// NewPinner returns a pinner that signs tokens with the given secret.
func NewPinner(secret []byte) (*Pinner, error) {
	pins, err := lru.New[pinKey, entry](maxPins)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Pinner{secret: secret, pins: pins}, nil
}

// Lookup returns the version that a session is pinned to, and false if there is none. A valid token of the caller takes
// precedence over the memory of this instance.
func (p *Pinner) Lookup(workspace, session, model, token string) (string, bool) {
	if session == "" {
		return "", false
	}
	pin, err := p.verifyIfPresent(token)
	if err == nil && pin.Workspace == workspace && pin.Session == session && pin.Model == model {
		return pin.Version, true
	}
	e, ok := p.pins.Get(pinKey{workspace, session, model})
	return e.version, ok
}

// Pin pins a session to a version unless it is already pinned, and returns the pinned version.
func (p *Pinner) Pin(pin Pin) string {
	k := pinKey{pin.Workspace, pin.Session, pin.Model}
	if existing, ok, _ := p.pins.PeekOrAdd(k, entry{version: pin.Version}); ok {
		return existing.version
	}
	return pin.Version
}

// Replace replaces the version that a session is pinned to.
func (p *Pinner) Replace(pin Pin) {
	p.pins.Add(pinKey{pin.Workspace, pin.Session, pin.Model}, entry{version: pin.Version})
}

// SignToken returns the signed token of a pin, from the cache if possible; it fails if the pin cannot be encoded.
func (p *Pinner) SignToken(pin Pin) (string, error) {
	k := pinKey{pin.Workspace, pin.Session, pin.Model}
	if e, ok := p.pins.Peek(k); ok && e.version == pin.Version && e.token != "" {
		return e.token, nil
	}
	token, err := p.signToken(pin)
	if err == nil && pin.Session != "" {
		p.pins.Add(k, entry{version: pin.Version, token: token})
	}
	return token, err
}

func (p *Pinner) signToken(pin Pin) (string, error) {
	body, err := cbor.Marshal(pin)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return encodeBase64(body) + "." + encodeBase64(p.sign(body)), nil
}

// verifyIfPresent returns an empty pin without a token; this avoids the cost of an error with a stack trace.
func (p *Pinner) verifyIfPresent(token string) (Pin, error) {
	if token == "" {
		return Pin{}, nil
	}
	return p.verify(token)
}

func (p *Pinner) verify(token string) (Pin, error) {
	body, signature, ok := strings.Cut(token, ".")
	if !ok || len(token) > maxTokenBytes {
		return Pin{}, trace.BadParameter("malformed session token")
	}
	decodedBody, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Pin{}, trace.Wrap(err)
	}
	decodedSignature, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return Pin{}, trace.Wrap(err)
	}
	if !hmac.Equal(decodedSignature, p.sign(decodedBody)) {
		return Pin{}, trace.AccessDenied("the session token's signature does not match")
	}
	var pin Pin
	if err := cbor.Unmarshal(decodedBody, &pin); err != nil {
		return Pin{}, trace.Wrap(err)
	}
	return pin, nil
}

func (p *Pinner) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, p.secret)
	_, _ = mac.Write(body)
	return mac.Sum(nil)
}

func encodeBase64(b []byte) string {
	return base64.RawURLEncoding.EncodeToString(b)
}
