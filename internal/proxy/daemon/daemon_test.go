package daemon

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestStopSignalIsKeptAmongReloads sends the process many signals to read its settings again,
// and then one to stop, before it handles any. The one to stop must not be dropped.
func TestStopSignalIsKeptAmongReloads(t *testing.T) {
	is := is.New(t)
	stop, reload := notifySignals()
	defer signal.Stop(stop)
	defer signal.Stop(reload)
	for range 4 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		is.Equal(<-reload, os.Signal(syscall.SIGHUP))
	}
	for range 4 {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(<-stop, os.Signal(syscall.SIGTERM))
}
