package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialling  role = "dialling"
	accepting role = "accepting"

	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
)

type (
	role string

	// hello opens the handshake in both directions.
	hello struct {
		Nonce   []byte `json:"nonce"`
		Address string `json:"address"`
		Proof   []byte `json:"proof,omitempty"` // set by the accepting side only
	}

	proof struct {
		Proof []byte `json:"proof"`
	}
)

// handshake authenticates both sides by the shared key and returns the peer's
// address. Each side signs both nonces, both addresses and its own role, so that
// no proof can be replayed or reflected. The accepting side sends its proof
// first: a daemon that dialled a wrong address sends none there. Nothing else is
// read before both proofs are verified.
func (s *stream) handshake(ctx context.Context, key []byte, address string, as role) (peer string, err error) {
	defer func() { err = errors.Wrap(err, "handshake") }()
	defer s.closeOnDone(ctx)()
	if err = s.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	own := hello{Nonce: make([]byte, nonceSize), Address: address}
	_, _ = rand.Read(own.Nonce) // never fails
	if as == dialling {
		peer, err = s.dialHandshake(key, own)
	} else {
		peer, err = s.acceptHandshake(key, own)
	}
	if err != nil {
		return "", err
	}
	s.limit = maxMessage
	return peer, s.conn.SetReadDeadline(time.Time{})
}

func (s *stream) dialHandshake(key []byte, own hello) (string, error) {
	if err := s.WriteObject(own); err != nil {
		return "", err
	}
	var theirs hello
	if err := s.ReadObject(&theirs); err != nil {
		return "", err
	}
	if !hmac.Equal(theirs.Proof, sign(key, accepting, own, theirs)) {
		return "", ErrWrongKey
	}
	return theirs.Address, s.WriteObject(proof{Proof: sign(key, dialling, own, theirs)})
}

func (s *stream) acceptHandshake(key []byte, own hello) (string, error) {
	var theirs hello
	if err := s.ReadObject(&theirs); err != nil {
		return "", err
	}
	own.Proof = sign(key, accepting, theirs, own)
	if err := s.WriteObject(own); err != nil {
		return "", err
	}
	var p proof
	if err := s.ReadObject(&p); err != nil {
		return "", err
	}
	if !hmac.Equal(p.Proof, sign(key, dialling, theirs, own)) {
		return "", ErrWrongKey
	}
	return theirs.Address, nil
}

// sign returns the proof for the side in the given role. Lengths are signed too,
// so that the signed bytes are unambiguous.
func sign(key []byte, as role, dialled, accepted hello) []byte {
	mac := hmac.New(sha256.New, key)
	for _, field := range [][]byte{
		[]byte(as),
		dialled.Nonce, accepted.Nonce,
		[]byte(dialled.Address), []byte(accepted.Address),
	} {
		mac.Write([]byte{byte(len(field) >> 8), byte(len(field))})
		mac.Write(field)
	}
	return mac.Sum(nil)
}
