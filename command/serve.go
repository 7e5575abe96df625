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

// closePatience bounds the wait for the last log lines to be written.
const closePatience = 200 * time.Millisecond

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "AUBURNSCALE_BOOT"

func serveInstance(ctx context.Context, file string) error {
	if file == "" {
		return &usageError{errors.New("no settings file: give --settings or set $" + settingsVariable)}
	}
	hangups := catchHangups()
	s, findings := settings.Read(file)
	if err := findings.Err(); err != nil {
		return err
	}
	sink := event.NewSink(os.Stdout)
	defer sink.Close(closePatience)
	logger := sink.Logger(zap.String("instance", s.Instance))
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if s.Fleet.Enabled() {
		return runFleet(ctx, file, s, hangups, logger)
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

// runFleet runs an instance of a fleet that finds itself.
func runFleet(ctx context.Context, file string, s settings.Settings, hangups <-chan os.Signal, logger *event.Logger) error {
	for {
		err := runOnce(ctx, file, s, hangups, logger)
		if !errors.Is(err, serve.ErrRestartRequired) {
			return err
		}
		// The settings may have changed meanwhile.
		if next, findings := settings.Read(file); findings.Err() == nil {
			s = next
		}
	}
}

func runOnce(ctx context.Context, file string, s settings.Settings, hangups <-chan os.Signal, logger *event.Logger) error {
	process, err := serve.NewFleetInstance(s, logger)
	if err != nil {
		return err
	}
	reloading, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &reloader{file: file, process: process, logger: logger, hangups: hangups}
	go r.run(reloading)
	if err := process.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// A reloader reads the settings again when a signal says so or the file changes.
type reloader struct {
	file    string
	process serve.Reloader
	logger  *event.Logger
	hangups <-chan os.Signal
	changed time.Time
}

// catchHangups returns the signals that ask for a reload. They stay caught to
// the end of the process: by default one would end an instance that starts, or
// one that finishes its requests before it stops.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	r.changed = r.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reload()
		case <-ticker.C:
			if at := r.modified(); !at.Equal(r.changed) {
				r.reload()
			}
		}
	}
}

func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		// A file that is being replaced is there at the next look.
		return r.changed
	}
	return info.ModTime()
}

func (r *reloader) reload() {
	r.changed = r.modified()
	s, findings := settings.Read(r.file)
	if err := findings.Err(); err != nil {
		r.logger.Log(event.SettingsRefused, zap.Error(err))
		return
	}
	r.process.Reload(s)
}
