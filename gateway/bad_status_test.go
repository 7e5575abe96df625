package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
)

// Guards against a status that no response has, which reached callers or was waited for until the deadline. What such a
// response states of itself does not count.
func TestBadStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, path := range []string{"/orders/1", "/reads/1", "/streams/1", "/resumable/1"} {
			t.Run(status+path, func(t *testing.T) {
				f := newFixture(t, 1)
				f.targets[0].Script(standin.BadStatus(status))
				response, _ := f.send(http.MethodPost, path)
				require.NoError(t, response.err)
				require.Equal(t, http.StatusBadGateway, response.status)
				require.Contains(t, response.body, `"not_run":false`)
			})
		}
	}
}
