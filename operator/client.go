package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// clientTimeout exceeds the time that a server waits until a change is in effect.
const clientTimeout = 30 * time.Second

// A Client calls the operator API. It tries the addresses in order until one responds;
// this is safe because every request is idempotent.
type Client struct {
	addresses []string
	key       string
	http      *http.Client
}

// NewClient returns a client for the instances at the operator addresses (host:port)
// that authenticates with the operator key.
func NewClient(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// Apply applies a configuration.
func (c *Client) Apply(ctx context.Context, q ApplyRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, applyPath, q)
}

// Withdraw withdraws a key.
func (c *Client) Withdraw(ctx context.Context, q WithdrawRequest) (*WithdrawResponse, error) {
	return post[WithdrawResponse](ctx, c, withdrawPath, q)
}

// Drain drains a target or a failure domain, or undoes that.
func (c *Client) Drain(ctx context.Context, q DrainRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, drainPath, q)
}

// Forget removes an instance that will not come back.
func (c *Client) Forget(ctx context.Context, q NameRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, forgetPath, q)
}

// Release declares that an issuer of external actions has terminated, so that it has
// no request in flight.
func (c *Client) Release(ctx context.Context, q NameRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, releasePath, q)
}

// Voters changes the voter set.
func (c *Client) Voters(ctx context.Context, q VotersRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, votersPath, q)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	response := &Status{}
	return response, c.do(ctx, http.MethodGet, statusPath, nil, response)
}

// Trail returns at most limit entries of the audit trail after the index.
func (c *Client) Trail(ctx context.Context, after uint64, limit int) ([]TrailEntry, error) {
	var entries []TrailEntry
	path := trailPath + "?after=" + strconv.FormatUint(after, 10) + "&limit=" + strconv.Itoa(limit)
	err := c.do(ctx, http.MethodGet, path, nil, &entries)
	return entries, err
}

func post[A any](ctx context.Context, c *Client, path string, q any) (*A, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	response := new(A)
	return response, c.do(ctx, http.MethodPost, path, body, response)
}

// do sends the request to the addresses in order until one gives a final response, and
// decodes that into result.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	var failures []error
	for _, address := range c.addresses {
		tryNext, err := c.try(ctx, method, "http://"+address+path, body, result)
		if err == nil {
			return nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
		if !tryNext {
			break
		}
	}
	return errors.Join(failures...)
}

// try sends the request to one instance. On an error it reports whether the next
// instance should be tried: after a network error or a 5xx status.
func (c *Client) try(ctx context.Context, method, url string, body []byte, result any) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return true, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode >= http.StatusInternalServerError, responseError(response.StatusCode, data)
	}
	return false, json.Unmarshal(data, result)
}

// responseError returns the error in the body of a response whose status is not 200.
func responseError(status int, data []byte) error {
	var body errorBody
	if json.Unmarshal(data, &body) == nil && body.Error != "" {
		return errors.New(body.Error)
	}
	return fmt.Errorf("status %d: %s", status, data)
}
