// Package digest gives keys the form in which they are stored.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
)

// Of returns the SHA-256 sum of a key in hexadecimal digits.
func Of(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
