package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/catalog"
	"auburnscale/platform/standin"
)

// Guards against an early response, reset while the upload was being written, that reaches callers as a whole one.
func TestResetDuringUploadReachesNoCaller(t *testing.T) {
	for _, path := range []string{"/orders/1", "/reads/1", "/streams/1", "/twice/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 2)
			large := configuration()
			large.Limits.MaxBodyBytes = 8 << 20
			snapshot, findings := catalog.New(large)
			require.NoError(t, findings.Err())
			f.state.set(snapshot)
			for n := range 16 {
				for _, target := range f.targets {
					target.Script(standin.ResetEarly(n % 8 * (500 << 10)))
				}
				r, _ := f.request(context.Background(), http.MethodPost, path)
				// Another body each time, since a request that fails again and again is refused.
				body := bytes.Repeat([]byte{byte('A' + n)}, 6<<20)
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
				response := send(r)
				require.False(t, response.err == nil && response.status == http.StatusOK, "attempt %d: a whole response of %d bytes", n, len(response.body))
			}
		})
	}
}

// Guards against a stream that was broken off and ends like a whole one for a caller of HTTP/1.0, whose responses end with
// their connection.
func TestBrokenStreamOfHTTP10IsReset(t *testing.T) {
	for _, path := range []string{"/streams/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 1)
			f.targets[0].Script(standin.TruncateStreamAfter(1))
			c := f.stopClient()
			c.write(strings.Replace(rawRequest("POST", path, "old"), "HTTP/1.1", "HTTP/1.0", 1))
			response := c.read()
			require.Equal(t, http.StatusOK, response.status)
			require.Contains(t, response.body, "piece 1")
			require.Error(t, response.err)
		})
	}
	f := newFixture(t, 1)
	c := f.stopClient()
	c.write(strings.Replace(rawRequest("POST", "/streams/1", "old"), "HTTP/1.1", "HTTP/1.0", 1))
	response := c.read()
	require.NoError(t, response.err, "a whole stream")
	require.Equal(t, http.StatusOK, response.status)
}
