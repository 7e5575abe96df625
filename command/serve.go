package command

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/serve"
	"auburnscale/settings"
)

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "serve", Short: "run one instance", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return serveInstance(c.Context(), file)
	}}
	c.Flags().StringVar(&file, "settings", os.Getenv(settingsVariable), "settings file of the instance; the default is $"+settingsVariable)
	return c
}

// logFlushTimeout limits the wait for the last log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// settingsVariable is the environment variable that names the settings file if
// the flag --settings is not given.
const settingsVariable = "AUBURNSCALE_BOOT"

func serveInstance(ctx context.Context, file string) error {
	if file == "" {
		return &usageError{errors.New("no settings file: give --settings or set $" + settingsVariable)}
	}
	reloadSignals := catchReloadSignals()
	s, findings := settings.Read(file)
	if err := findings.Err(); err != nil {
		return err
	}
	sink := event.NewSink(os.Stdout)
	defer sink.Close(logFlushTimeout)
	logger := sink.Logger(zap.String("instance", s.Instance))
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.Fleet.Enabled() {
		return runFleet(ctx, file, s, reloadSignals, logger)
	}
	process, err := serve.New(s, logger)
	if err != nil {
		return err
	}
	if err := process.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// runFleet runs an instance of a fleet with seed discovery, and starts it anew
// with the current settings whenever it requires a restart.
func runFleet(ctx context.Context, file string, s settings.Settings, reloadSignals <-chan os.Signal, logger *event.Logger) error {
	for {
		err := runOnce(ctx, file, s, reloadSignals, logger)
		if !errors.Is(err, serve.ErrRestartRequired) {
			return err
		}
		// The settings file may have changed in the meantime.
		if next, findings := settings.Read(file); findings.Err() == nil {
			s = next
		}
	}
}

func runOnce(ctx context.Context, file string, s settings.Settings, reloadSignals <-chan os.Signal, logger *event.Logger) error {
	process, err := serve.StartFleetInstance(ctx, s, logger)
	if err != nil {
		return err
	}
	reloading, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &reloader{file: file, process: process, logger: logger, reloadSignals: reloadSignals}
	go r.run(reloading)
	if err := process.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// reloadInterval is the interval at which the settings file is checked for
// changes, which may come without a signal.
const reloadInterval = 2 * time.Second

// A reloader reloads the settings on SIGHUP and when the file changes.
type reloader struct {
	file          string
	process       serve.Reloader
	logger        *event.Logger
	reloadSignals <-chan os.Signal
	modifiedAt    time.Time
}

// catchReloadSignals returns a channel that receives SIGHUP, the request to reload.
// The signal remains caught until the process exits: its default action would
// terminate an instance that is starting or finishing its requests before a stop.
func catchReloadSignals() <-chan os.Signal {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	return reloadSignals
}

func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	r.modifiedAt = r.modificationTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.reloadSignals:
			r.reload()
		case <-ticker.C:
			if at := r.modificationTime(); !at.Equal(r.modifiedAt) {
				r.reload()
			}
		}
	}
}

func (r *reloader) modificationTime() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		// The file may be missing while it is being replaced; check again at the
		// next interval.
		return r.modifiedAt
	}
	return info.ModTime()
}

func (r *reloader) reload() {
	r.modifiedAt = r.modificationTime()
	s, findings := settings.Read(r.file)
	if err := findings.Err(); err != nil {
		r.logger.Log(event.SettingsRefused, zap.Error(err))
		return
	}
	r.process.Reload(s)
}
