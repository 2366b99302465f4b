// Command rhubarbtrackd is the daemon that runs on each entry host.
//
// # Usage
//
//	rhubarbtrackd --settings FILE [--check-settings]
//	rhubarbtrackd --platform [--check-settings]
//
// It stops on SIGINT and SIGTERM. With --platform, SIGHUP reloads the settings. The exit code is 0 on success, 1 on
// failure and 2 on incorrect usage.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rhubarbtrack.example/core/spreader"
	"rhubarbtrack.example/platform/reader"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/logwriter"
	"rhubarbtrack.example/rhubarbtrackd/internal/runner"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
	"rhubarbtrack.example/rhubarbtrackd/internal/starter"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

type options struct {
	Settings      string        `long:"settings" value-name:"FILE" description:"YAML file with the settings of this host"`
	Platform      bool          `long:"platform" description:"run on the users' platform, with the settings file that it provides"`
	CrossingPrice time.Duration `long:"crossing-price" value-name:"DURATION" description:"with --platform: time of a caller that a megabyte between two failure domains is worth, from 0 to 1h"`
	CheckSettings bool          `long:"check-settings" description:"report every fault of the settings and exit"`
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
	if opts.Platform {
		if opts.CrossingPrice < 0 || opts.CrossingPrice > spreader.MaxPrice {
			fmt.Fprintf(os.Stderr, "--crossing-price must be a duration between 0s and %s\n", spreader.MaxPrice)
			return exitUsage
		}
		return servePlatform(opts.CheckSettings, opts.CrossingPrice)
	}
	if opts.Settings == "" {
		fmt.Fprintln(os.Stderr, "one of --settings and --platform is required")
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

// servePlatform runs the daemon with the settings file that the users' platform provides, and with a log writer that
// does not block.
func servePlatform(check bool, crossingPrice time.Duration) int {
	path := os.Getenv(reader.PathVariable)
	load := func() (reader.Settings, error) { return reader.Load(path) }
	if check {
		if _, err := load(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		fmt.Println(path + ": ok")
		return exitOK
	}
	out := logwriter.New(os.Stdout)
	defer out.Stop()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}()
	err := starter.Run(ctx, starter.Options{
		Load: load, Log: eventlog.New(newPlatformLogger(out)), Reload: reload, Dropped: out.TakeDropped,
		CrossingPrice: crossingPrice,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// In each second, the first logFirst events with the same message are logged, and after these every logThereafter-th.
const (
	logFirst      = 100
	logThereafter = 100
)

func newPlatformLogger(out zapcore.WriteSyncer) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), out, zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter))
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
