package command

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReloadSignalWhileStopping sends the signal that asks for a reload to a
// process whose reloader has ended: it must live on and finish its requests.
func TestReloadSignalWhileStopping(t *testing.T) {
	hangups := catchHangups()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	(&reloader{file: "none.toml", hangups: hangups}).run(ctx)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	// An uncaught signal ends the test binary here.
	select {
	case <-hangups:
	case <-time.After(time.Minute):
		require.Fail(t, "the signal did not arrive")
	}
}
