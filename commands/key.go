package commands

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newKey(deps Deps) *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "sequoialead key [KEY]",
		ShortHelp:  "generate a key, or print the digest of a given one",
		LongHelp:   "The digest goes into the configuration (customers) or an entry's settings (operators); the key itself goes to its holder.",
		FlagSet:    newFlags("sequoialead key", deps),
		Exec: func(_ context.Context, args []string) error {
			key := rand.Text()
			if len(args) > 0 {
				key = args[0]
			}
			sum := sha256.Sum256([]byte(key))
			_, err := fmt.Fprintf(deps.Stdout, "key    %s\ndigest %s\n", key, hex.EncodeToString(sum[:]))
			return err
		},
	}
}
