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

// clientTimeout is longer than a server's wait for a change to be in force.
const clientTimeout = 30 * time.Second

// A Client represents an operator's tool. It asks the addresses in turn until
// one answers; every request may be sent twice without harm.
type Client struct {
	addresses []string
	key       string
	http      *http.Client
}

// NewClient returns a client of the instances at the operator addresses.
func NewClient(addresses []string, key string) *Client {
	return &Client{addresses: addresses, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// Apply puts a configuration in force.
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

// Release declares an issuer of outward actions gone.
func (c *Client) Release(ctx context.Context, q NameRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, releasePath, q)
}

// Voters changes the voter set.
func (c *Client) Voters(ctx context.Context, q VotersRequest) (*ChangeResponse, error) {
	return post[ChangeResponse](ctx, c, votersPath, q)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	answer := &Status{}
	return answer, c.do(ctx, http.MethodGet, statusPath, nil, answer)
}

// Trail returns a page of the audit trail behind the index.
func (c *Client) Trail(ctx context.Context, after uint64, limit int) ([]TrailEntry, error) {
	var lines []TrailEntry
	path := trailPath + "?after=" + strconv.FormatUint(after, 10) + "&limit=" + strconv.Itoa(limit)
	err := c.do(ctx, http.MethodGet, path, nil, &lines)
	return lines, err
}

func post[A any](ctx context.Context, c *Client, path string, q any) (*A, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	answer := new(A)
	return answer, c.do(ctx, http.MethodPost, path, body, answer)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	var failures []error
	for _, address := range c.addresses {
		again, err := c.try(ctx, method, "http://"+address+path, body, into)
		if err == nil {
			return nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
		if !again {
			break
		}
	}
	return errors.Join(failures...)
}

// try asks one instance. It reports whether another one may answer better.
func (c *Client) try(ctx context.Context, method, url string, body []byte, into any) (bool, error) {
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
		return response.StatusCode >= http.StatusInternalServerError, refusalOf(response.StatusCode, data)
	}
	return false, json.Unmarshal(data, into)
}

func refusalOf(status int, data []byte) error {
	var refusal refusalBody
	if json.Unmarshal(data, &refusal) == nil && refusal.Error != "" {
		return errors.New(refusal.Error)
	}
	return fmt.Errorf("status %d: %s", status, data)
}
