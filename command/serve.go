package command

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

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
	c.Flags().StringVar(&file, "settings", "", "settings file of the instance")
	_ = c.MarkFlagRequired("settings")
	return c
}

func serveInstance(ctx context.Context, file string) error {
	s, findings := settings.Read(file)
	if err := findings.Err(); err != nil {
		return err
	}
	logger, err := zap.NewProduction()
	if err != nil {
		return fmt.Errorf("start logging: %w", err)
	}
	defer func() { _ = logger.Sync() }()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process, err := serve.New(s, event.New(logger.With(zap.String("instance", s.Instance))))
	if err != nil {
		return err
	}
	if err := process.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
