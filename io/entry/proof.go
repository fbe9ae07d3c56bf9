package entry

import "encoding/hex"

// decodeHex returns the bytes of a hexadecimal string; empty if it is
// invalid, which is never a valid signature.
func decodeHex(text string) string {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return ""
	}
	return string(raw)
}

// Proof returns the value of HeaderProof for a signature: its hexadecimal form.
func Proof(signature []byte) string { return hex.EncodeToString(signature) }
