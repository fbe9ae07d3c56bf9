// Package seal proves that a message was made by a process that holds the
// fleet's key.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"

	"sequoialead"
)

// KeySize is the least length of a fleet key, in bytes.
const KeySize = 16

// Sealer makes and checks seals.
type Sealer struct {
	// key is at least KeySize bytes long.
	key []byte
}

// New returns a sealer for the fleet's key.
func New(key string) (*Sealer, error) {
	if len(key) < KeySize {
		return nil, sequoialead.ErrSettings.New("the fleet key has %d bytes; give at least %d, the same to every process", len(key), KeySize)
	}
	return &Sealer{key: []byte(key)}, nil
}

// Seal returns the seal of data. The purpose keeps seals of different kinds of
// messages apart.
func (s *Sealer) Seal(purpose string, data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(data)
	return mac.Sum(nil)
}

// Check reports whether the seal belongs to data.
func (s *Sealer) Check(purpose string, data, seal []byte) bool {
	return hmac.Equal(s.Seal(purpose, data), seal)
}
