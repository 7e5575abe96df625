package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/certificate"
	"auburnscale/peer"
)

// holdServer implements only Hold of the peer protocol.
type holdServer struct{ peer.Peer }

// Hold returns an empty response.
func (holdServer) Hold(context.Context, *peer.HoldRequest) (*peer.HoldResponse, error) {
	return &peer.HoldResponse{}, nil
}

// issue writes a new certificate authority and a certificate that it issued for
// 127.0.0.1 to the directory and returns the paths of the files.
func issue(t *testing.T, directory string) (certificateFile, privateKeyFile, authorityFile string) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	require.NoError(t, err)
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(directory, name)
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return file
	}
	return write("instance.pem", "CERTIFICATE", leafDER), write("instance.key", "EC PRIVATE KEY", keyDER), write("authority.pem", "CERTIFICATE", authorityDER)
}

func store(t *testing.T, directory string) *certificate.Store {
	s, err := certificate.New(issue(t, directory))
	require.NoError(t, err)
	return s
}

func serveHold(t *testing.T, certificates *certificate.Store) string {
	server, err := Listen("127.0.0.1:0", Handler("the key", holdServer{}, func(string, []string) {}), certificates)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return server.listener.Addr().String()
}

func callHold(address, key string, certificates *certificate.Store) error {
	client := NewClient(netip.MustParseAddr("127.0.0.1"), key, certificates)
	_, err := client.Peer(address).Hold(context.Background(), &peer.HoldRequest{})
	return err
}

func TestKeyIsChecked(t *testing.T) {
	address := serveHold(t, nil)
	require.NoError(t, callHold(address, "the key", nil))
	require.ErrorContains(t, callHold(address, "another key", nil), "401")
}

func TestMutualTLS(t *testing.T) {
	directory := t.TempDir()
	certificates := store(t, directory)
	address := serveHold(t, certificates)
	require.NoError(t, callHold(address, "the key", certificates))
	require.Error(t, callHold(address, "the key", nil), "plain HTTP is refused")
	require.Error(t, callHold(address, "the key", store(t, t.TempDir())), "another authority's certificate is refused")
}

// TestCertificatesAreReloaded replaces the certificate files of a running server and
// client. Both must use the new ones within a minute.
func TestCertificatesAreReloaded(t *testing.T) {
	directory := t.TempDir()
	certificates := store(t, directory)
	address := serveHold(t, certificates)
	require.NoError(t, callHold(address, "the key", certificates))
	fresh := store(t, directory)
	require.Eventually(t, func() bool { return callHold(address, "the key", fresh) == nil }, time.Minute, 100*time.Millisecond)
	require.NoError(t, callHold(address, "the key", certificates), "the old client has reloaded them too")
}

// proposeRecorder implements ReportSuspects and Propose of the peer protocol and keeps the requests.
type proposeRecorder struct {
	peer.Peer
	reports  chan *peer.SuspectReport
	proposed chan *peer.ProposeRequest
}

// ReportSuspects implements [peer.Peer].
func (r proposeRecorder) ReportSuspects(_ context.Context, report *peer.SuspectReport) (*peer.SuspectList, error) {
	r.reports <- report
	return &peer.SuspectList{}, nil
}

// Propose implements [peer.Peer].
func (r proposeRecorder) Propose(_ context.Context, request *peer.ProposeRequest) (*peer.ProposeResponse, error) {
	r.proposed <- request
	return &peer.ProposeResponse{}, nil
}

// TestUnencodableRequests sends a list with an element that cannot be encoded, which is left out, and a
// command, which fails: without its text it would be another command.
func TestUnencodableRequests(t *testing.T) {
	r := proposeRecorder{reports: make(chan *peer.SuspectReport, 1), proposed: make(chan *peer.ProposeRequest, 1)}
	server, err := Listen("127.0.0.1:0", Handler("", r, func(string, []string) {}), nil)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	client := NewClient(netip.MustParseAddr("127.0.0.1"), "", nil).Peer(server.listener.Addr().String())
	_, err = client.ReportSuspects(context.Background(), &peer.SuspectReport{Crashed: []*peer.CrashedRequest{{Target: "a"}, {Target: "\xff"}, {Target: "b"}}})
	require.NoError(t, err)
	require.Len(t, (<-r.reports).Crashed, 2)
	_, err = client.Propose(context.Background(), &peer.ProposeRequest{Command: &peer.Command{Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: "k\xff"}}}})
	require.ErrorContains(t, err, "command.withdraw.key_id")
	require.Empty(t, r.proposed)
}
