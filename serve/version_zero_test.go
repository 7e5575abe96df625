package serve

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/control"
)

// Guards against a first configuration of version 0, which ended every control instance at each start (review/6): it is
// refused and leaves no entry in the log.
func TestVersionZeroIsRefused(t *testing.T) {
	f := newTestFleet(t)
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	for host := 1; host <= 3; host++ {
		status, body, err := f.call(http.MethodPost, f.address(host, fleetOperatorPort), "/Config.Replace", f.document(0, "/orders/"))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, status)
		require.Contains(t, body, "version is 0")
	}
	f.replace(2, 7, "/orders/")
	f.awaitRead(3, 7, "/orders/")
	status, _, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Config.Replace", f.document(0, "/other/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
	for host := 1; host <= 3; host++ {
		f.running[fmt.Sprint("control", host)].process.(*Control).voter.Read(func(m *control.Machine) {
			for _, e := range m.Trail(0, 100) {
				require.NotEqual(t, "version 0", e.Subject)
			}
		})
	}
}
