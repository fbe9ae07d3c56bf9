// Package mac authenticates messages between the processes of a fleet with
// HMAC-SHA-256 under the fleet's shared key.
package mac

import (
	"crypto/hmac"
	"crypto/sha256"

	"sequoialead"
)

// MinKeySize is the minimum length of a fleet key in bytes.
const MinKeySize = 16

// Signer computes and verifies message authentication codes. It is safe
// for concurrent use.
type Signer struct {
	// key is at least MinKeySize bytes long.
	key []byte
}

// New returns a signer for the fleet's key. It fails if the key is shorter than
// MinKeySize.
func New(key string) (*Signer, error) {
	if len(key) < MinKeySize {
		return nil, sequoialead.ErrSettings.New("the fleet key has %d bytes; give at least %d, the same to every process", len(key), MinKeySize)
	}
	return &Signer{key: []byte(key)}, nil
}

// Sign returns the 32-byte authentication code of data. The purpose names the
// kind of message, so that the code of one kind is not valid for another. It must
// not contain a zero byte.
func (s *Signer) Sign(purpose string, data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(data)
	return mac.Sum(nil)
}

// Verify reports whether sum is the authentication code of data for the purpose.
// It compares in constant time.
func (s *Signer) Verify(purpose string, data, sum []byte) bool {
	return hmac.Equal(s.Sign(purpose, data), sum)
}
