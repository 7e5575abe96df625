package connlimit

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an empty 200 for a request on a connection that has been given up for another one.
func TestRequestOnClosedConnectionIsNotAnswered(t *testing.T) {
	l, address := serve(t, 4, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	c := dial(t, address)
	require.Eventually(t, func() bool { return l.Open() == 1 }, waitLimit, time.Millisecond)
	l.mutex.Lock()
	clear(l.conns)
	l.mutex.Unlock()
	require.Empty(t, get(t, c))
}
