package tcp_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/tcp"
)

// Guards against a reset that is taken for the end of what the peer sent, and the other way round.
func TestGone(t *testing.T) {
	listener, err := tcp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	for _, reset := range []bool{false, true} {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		peer, err := listener.Accept()
		require.NoError(t, err)
		require.False(t, tcp.Gone(c))
		if reset {
			require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		}
		require.NoError(t, peer.Close())
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err)
		require.Equal(t, reset, tcp.Gone(c))
	}
	require.False(t, tcp.Gone(&net.TCPConn{}), "not known")
}
