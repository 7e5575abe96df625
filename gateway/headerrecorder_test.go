package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFramingParserFollowsRequests draws requests with every framing, whose bodies look like requests, and
// delivers their bytes in any pieces.
func TestFramingParserFollowsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hidden = "GET /hidden HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
		var stream strings.Builder
		var want []requestHeader
		for n := range rapid.IntRange(1, 8).Draw(t, "requests") {
			line := fmt.Sprintf("POST /%d HTTP/1.1", n)
			end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
			body := strings.Repeat(hidden, rapid.IntRange(0, 3).Draw(t, "length"))
			framings := 1
			stream.WriteString(line + end + "Host: h" + end)
			switch rapid.SampledFrom([]string{"none", "length", "chunked"}).Draw(t, "framing") {
			case "none":
				framings = 0
				stream.WriteString(end)
			case "length":
				fmt.Fprintf(&stream, "content-length: %d%s%s%s", len(body), end, end, body)
			case "chunked":
				stream.WriteString("Transfer-Encoding: chunked" + end + end)
				if body != "" {
					fmt.Fprintf(&stream, "%x;ext=1\r\n%s\r\n", len(body), body)
				}
				stream.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X-Trailer: 1\r\n"}).Draw(t, "trailer") + "\r\n")
			}
			want = append(want, requestHeader{line: line, framings: framings})
		}
		var p framingParser
		var got []requestHeader
		for rest := []byte(stream.String()); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			got = append(got, p.parse(append([]byte(nil), rest[:n]...))...)
			rest = rest[n:]
		}
		require.Equal(t, want, got)
	})
}

// TestFramingParserStops checks that nothing is recorded behind a request whose end is not certain.
func TestFramingParserStops(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\n\r\n"
	for name, test := range map[string]struct {
		request  string
		framings int
	}{
		"both":            {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 2},
		"both, bare line": {"POST / HTTP/1.1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\r\n\r\n", 2},
		"two lengths":     {"POST / HTTP/1.1\r\nContent-Length: 5\r\ncontent-length : 5\r\n\r\nhello", 2},
		"negative length": {"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", -1},
		"odd chunk":       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1},
		"largest chunk":   {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", 1},
		"largest chunks":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", 1},
		"negative chunk":  {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 1},
	} {
		var p framingParser
		headers := p.parse([]byte(test.request + next))
		if test.framings < 0 {
			require.Empty(t, headers, name)
			continue
		}
		require.Len(t, headers, 1, name)
		require.Equal(t, test.framings, headers[0].framings, name)
		require.Empty(t, p.parse([]byte(next)), name)
	}
	var p framingParser
	for range maxHeaderBytes/1024 + 2 {
		require.Empty(t, p.parse([]byte(strings.Repeat("x", 1024))))
	}
	require.Empty(t, p.parse([]byte("\r\n\r\n"+next)), "a line without end")
}

func FuzzFramingParser(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 3)
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nhello"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		var whole, pieces framingParser
		want := whole.parse(stream)
		var got []requestHeader
		step := max(1, piece%64)
		for at := 0; at < len(stream); at += step {
			got = append(got, pieces.parse(stream[at:min(len(stream), at+step)])...)
		}
		require.Equal(t, want, got)
	})
}

// deadlineConn records the last read deadline, and reads what is written to it.
type deadlineConn struct {
	net.Conn
	data     chan string
	deadline time.Time
}

func (c *deadlineConn) Read(b []byte) (int, error)        { return copy(b, <-c.data), nil }
func (c *deadlineConn) SetReadDeadline(t time.Time) error { c.deadline = t; return nil }

// Guards against a read deadline of a body that outlasts it: the deadline ends with the read that brings the last byte.
func TestBodyLimitEndsWithTheBody(t *testing.T) {
	for name, test := range map[string]struct{ head, body string }{
		"length": {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "abc"},
		"chunks": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &deadlineConn{data: make(chan string, 4)}
			r := &headerRecorder{Conn: inner}
			read := func(text string) {
				inner.data <- text
				_, err := r.Read(make([]byte, 100))
				require.NoError(t, err)
			}
			read(test.head)
			_, recorded := r.nextHeader()
			require.True(t, recorded)
			until := time.Now().Add(time.Minute)
			require.NoError(t, r.limitBody(until))
			read(test.body[:len(test.body)-1])
			require.Equal(t, until, inner.deadline)
			read(test.body[len(test.body)-1:])
			require.Zero(t, inner.deadline)
			require.NoError(t, r.limitBody(until), "the body has been read")
			require.Zero(t, inner.deadline)
			read(test.head)
			require.NoError(t, r.limitBody(until), "the next request is not handled yet")
			require.Zero(t, inner.deadline)
		})
	}
}
