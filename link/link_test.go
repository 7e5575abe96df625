package link

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

// answering answers Hold and nothing else.
type answering struct{ peer.Peer }

// Hold answers.
func (answering) Hold(context.Context, *peer.HoldRequest) (*peer.HoldResponse, error) {
	return &peer.HoldResponse{}, nil
}

// issue writes a new authority and a certificate of it for 127.0.0.1 into the
// folder and returns the paths.
func issue(t *testing.T, folder string) (certificateFile, privateKeyFile, authorityFile string) {
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
		file := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return file
	}
	return write("instance.pem", "CERTIFICATE", leafDER), write("instance.key", "EC PRIVATE KEY", keyDER), write("authority.pem", "CERTIFICATE", authorityDER)
}

func store(t *testing.T, folder string) *certificate.Store {
	s, err := certificate.New(issue(t, folder))
	require.NoError(t, err)
	return s
}

func serveHold(t *testing.T, certificates *certificate.Store) string {
	server, err := Listen("127.0.0.1:0", Handler("the key", answering{}), certificates)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	return server.listener.Addr().String()
}

func hold(address, key string, certificates *certificate.Store) error {
	client := NewClient(netip.MustParseAddr("127.0.0.1"), key, certificates)
	_, err := client.Peer(address).Hold(context.Background(), &peer.HoldRequest{})
	return err
}

func TestKeyIsChecked(t *testing.T) {
	address := serveHold(t, nil)
	require.NoError(t, hold(address, "the key", nil))
	require.ErrorContains(t, hold(address, "another key", nil), "401")
}

func TestMutualTLS(t *testing.T) {
	folder := t.TempDir()
	certificates := store(t, folder)
	address := serveHold(t, certificates)
	require.NoError(t, hold(address, "the key", certificates))
	require.Error(t, hold(address, "the key", nil), "plain HTTP is refused")
	require.Error(t, hold(address, "the key", store(t, t.TempDir())), "another authority's certificate is refused")
}

// TestCertificatesAreReadAgain replaces the files under a running server and
// client. Both must come to use the new ones.
func TestCertificatesAreReadAgain(t *testing.T) {
	folder := t.TempDir()
	certificates := store(t, folder)
	address := serveHold(t, certificates)
	require.NoError(t, hold(address, "the key", certificates))
	fresh := store(t, folder)
	require.Eventually(t, func() bool { return hold(address, "the key", fresh) == nil }, time.Minute, 100*time.Millisecond)
	require.NoError(t, hold(address, "the key", certificates), "the old client has read them too")
}
