// Command sequoialead serves multi-stage model pipelines.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sequoialead/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := commands.Execute(ctx, os.Args[1:], commands.Deps{Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now})
	stop()
	os.Exit(code)
}
