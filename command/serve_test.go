package command

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReloadSignalWhileStopping sends SIGHUP after the reloader has stopped. The
// signal must not terminate a process that is still finishing its requests.
func TestReloadSignalWhileStopping(t *testing.T) {
	reloadSignals := catchReloadSignals()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	(&reloader{file: "none.toml", reloadSignals: reloadSignals}).run(ctx)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	// An uncaught signal would terminate the test binary here.
	select {
	case <-reloadSignals:
	case <-time.After(time.Minute):
		require.Fail(t, "the signal did not arrive")
	}
}
