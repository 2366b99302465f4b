// Command rhubarbtrackd is the daemon that runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rhubarbtrack.example/rhubarbtrackd/internal/runner"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

type options struct {
	Settings      string `long:"settings" required:"true" value-name:"FILE" description:"YAML file with the settings of this host"`
	CheckSettings bool   `long:"check-settings" description:"report every fault of the settings and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	s, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if opts.CheckSettings {
		fmt.Println(opts.Settings + ": ok")
		return exitOK
	}
	return serve(s)
}

func serve(s settings.Settings) int {
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runner.Run(ctx, s, logger); err != nil {
		return exitFailed
	}
	return exitOK
}

func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return config.Build()
}
