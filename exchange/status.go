package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
)

// ErrBadStatus means that a response is not one of HTTP/1 by its version, or that its status is none that may answer a
// request: not between 100 and 599, or 101, for which no request asks.
var ErrBadStatus = errors.New("not a status of a response")

const lastStatus = 599

// checkHead returns an error that wraps ErrBadStatus if the major version or the status is not valid.
func checkHead(majorVersion, status int) error {
	if majorVersion != 1 {
		return fmt.Errorf("version %d: %w", majorVersion, ErrBadStatus)
	}
	if !ValidStatus(status) {
		return fmt.Errorf("%03d: %w", status, ErrBadStatus)
	}
	return nil
}

// ValidStatus reports whether a response to a request, or one in advance of it, may have the status.
func ValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= lastStatus && status != http.StatusSwitchingProtocols
}

// statusLineStart matches the start of a status line of HTTP/1.
var statusLineStart = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})[ \r\n]`)

// statusLineBytes is the length of what statusLineStart matches.
const statusLineBytes = len("HTTP/1.1 200 ")

// skipInterim reads the interim responses, and checks the status line of the response behind them, which is not read:
// the library takes a status of 0 for 200.
func skipInterim(r *bufio.Reader) error {
	left := maxHeadBytes
	for {
		start, err := r.Peek(statusLineBytes)
		if err != nil {
			return err
		}
		match := statusLineStart.FindSubmatch(start)
		if match == nil {
			return fmt.Errorf("%q: %w", start, ErrBadStatus)
		}
		// The digits matched.
		status, _ := strconv.Atoi(string(match[1]))
		if err := checkHead(1, status); err != nil || status >= http.StatusOK {
			return err
		}
		if left, err = skipHead(r, left); err != nil {
			return err
		}
	}
}

// skipHead reads a header of at most left bytes to the blank line that ends it, and returns how many are left.
func skipHead(r *bufio.Reader, left int) (int, error) {
	for {
		line, err := r.ReadSlice('\n')
		left -= len(line)
		if left < 0 || errors.Is(err, bufio.ErrBufferFull) {
			return left, ErrHeadTooLong
		}
		if err != nil {
			return left, err
		}
		if len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return left, nil
		}
	}
}
