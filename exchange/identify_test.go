package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// identifyAs asks for the identity in the body of a successful response, and wants the given one.
func identifyAs(want string, required bool) *Identification {
	return &Identification{
		Request: &Request{Method: http.MethodGet, URI: "/who", Header: http.Header{}}, Want: want, Required: required,
		Identity: func(status int, body []byte) string {
			if status != http.StatusOK {
				return ""
			}
			return string(body)
		},
	}
}

func sendIdentified(t *testing.T, d *Dialer, s *scriptedTarget, id string, i *Identification) (*Response, string, error) {
	response, err := d.Send(context.Background(), s.listener.Addr().String(), &Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{RequestIDHeader: {id}}, Identification: i,
	})
	if err != nil {
		return nil, "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	require.NoError(t, err)
	return response, string(body), nil
}

// writeIdentity writes a response without a request id.
func writeIdentity(c net.Conn, status, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
}

// TestTargetIsIdentifiedOnceForEachConnection checks that one question holds for all requests of a connection, and
// that requests for another identity do not use it.
func TestTargetIsIdentifiedOnceForEachConnection(t *testing.T) {
	questions := 0
	who := "one"
	s := newScriptedTarget(t, func(c net.Conn, _ int64, id string) {
		if id == "" {
			questions++
			writeIdentity(c, "200 OK", who, "")
			return
		}
		fmt.Fprint(c, okResponse(id, "response to "+id))
	})
	d := dialer()
	for n := range 3 {
		response, body, err := sendIdentified(t, d, s, fmt.Sprint("r", n), identifyAs("one", true))
		require.NoError(t, err)
		require.True(t, response.Identified())
		require.Equal(t, fmt.Sprint("response to r", n), body)
	}
	require.Equal(t, 1, questions)
	_, err := sendRequest(t, d, s, "any", false)
	require.NoError(t, err)
	require.EqualValues(t, 1, s.connections.Load(), "a request that asks for nothing may use it")

	_, _, err = sendIdentified(t, d, s, "r4", identifyAs("two", false))
	require.ErrorIs(t, err, ErrOtherIdentity)
	require.True(t, NotSent(err))
	who = "two"
	_, _, err = sendIdentified(t, d, s, "r5", identifyAs("two", false))
	require.NoError(t, err)
	require.Equal(t, 3, questions)
}

// TestTargetThatDoesNotIdentify checks what happens to requests that need the identity, and to others.
func TestTargetThatDoesNotIdentify(t *testing.T) {
	for name, answer := range map[string]func(c net.Conn){
		"404":    func(c net.Conn) { writeIdentity(c, "404 Not Found", "no", "") },
		"empty":  func(c net.Conn) { writeIdentity(c, "200 OK", "", "") },
		"closes": func(c net.Conn) { writeIdentity(c, "200 OK", "one", "Connection: close\r\n"); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(c net.Conn, _ int64, id string) {
				if id == "" {
					answer(c)
					return
				}
				fmt.Fprint(c, okResponse(id, "ok"))
			})
			d := dialer()
			_, _, err := sendIdentified(t, d, s, "a", identifyAs("one", true))
			require.ErrorIs(t, err, ErrNoIdentity)
			require.True(t, NotSent(err))
			response, body, err := sendIdentified(t, d, s, "b", identifyAs("one", false))
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.False(t, response.Identified())
		})
	}
	for name, raw := range map[string]string{"garbage": "\x00\x01\r\n\r\n", "too long": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000)} {
		s := newScriptedTarget(t, func(c net.Conn, _ int64, _ string) { fmt.Fprint(c, raw) })
		_, _, err := sendIdentified(t, dialer(), s, "a", identifyAs("one", false))
		require.True(t, NotSent(err), name)
	}
}

// Guards against a refusal of the question that is written again and taken for that of the request.
func TestRepeatedIdentityResponseIsNotBelieved(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, _ int64, id string) {
		if id == "" {
			writeIdentity(c, "503 Service Unavailable", "", "X-Not-Executed: 1\r\n")
			return
		}
		writeIdentity(c, "503 Service Unavailable", "", "X-Not-Executed: 1\r\n")
		fmt.Fprint(c, okResponse(id, "ok"))
	})
	_, _, err := sendIdentified(t, dialer(), s, "a", identifyAs("one", false))
	require.ErrorIs(t, err, ErrMismatched)
	require.False(t, NotSent(err))
}
