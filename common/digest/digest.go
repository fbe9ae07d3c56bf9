// Package digest computes the digests of customers' and operators' keys.
// Configurations and settings contain only the digests.
package digest

import (
	"crypto/sha256"
	"encoding/hex"
)

// Of returns the SHA-256 of a key in lower-case hexadecimal.
func Of(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
