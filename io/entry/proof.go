package entry

import "encoding/hex"

func unhex(text string) string {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return ""
	}
	return string(raw)
}

// Proof returns the value of HeaderKey for a seal.
func Proof(seal []byte) string { return hex.EncodeToString(seal) }
