// Package certificate provides TLS configurations whose certificates are read from
// files and read again when the files change, so that a certificate is replaced
// without a restart.
//
// It owns the reading of PEM files. It must not import any package that listens.
//
// # Usage
//
//	store, err := certificate.New("instance.pem", "instance.key", "authority.pem")
//	config := store.MutualServerConfig()
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheckInterval is how long after a read the files are used without a check of
// their modification times. Later each connection checks them.
const recheckInterval = time.Second

// A Store represents one certificate with its private key and, for mutual TLS,
// the certificate authorities that the peer's certificate must chain to. It is safe
// for concurrent use.
type Store struct {
	certificateFile string
	privateKeyFile  string
	authorityFile   string

	mutex       sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the files and returns their store. If authorityFile is empty, no
// authorities are read; such a store is for ServerConfig, which does not verify the
// peer.
func New(certificateFile, privateKeyFile, authorityFile string) (*Store, error) {
	s := &Store{certificateFile: certificateFile, privateKeyFile: privateKeyFile, authorityFile: authorityFile}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig returns the configuration of a server that presents the certificate
// and does not verify clients.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
	}
}

// MutualServerConfig returns the configuration of a server that also requires a
// certificate from the client.
func (s *Store) MutualServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of outgoing connections. Each connection
// uses the file contents current when it is opened, so the peer is verified by
// verify and not against the fixed set of authorities that crypto/tls takes.
func (s *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// verify checks that the peer's certificate chains to the authorities and is valid
// for the dialled address.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	_, authorities := s.current()
	options := x509.VerifyOptions{Roots: authorities, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns the certificate and the authorities, read again if the files have
// changed. If they cannot be read, the last valid ones stay in use.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.lastCheck) > recheckInterval && s.modTimes != s.currentModTimes() {
		s.readLocked()
	}
	return s.certificate, s.authorities
}

func (s *Store) read() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readLocked()
}

func (s *Store) readLocked() error {
	s.lastCheck = time.Now()
	modTimes := s.currentModTimes()
	certificate, err := tls.LoadX509KeyPair(s.certificateFile, s.privateKeyFile)
	if err != nil {
		return fmt.Errorf("read certificate %s: %w", s.certificateFile, err)
	}
	if s.authorityFile != "" {
		data, err := os.ReadFile(s.authorityFile)
		if err != nil {
			return fmt.Errorf("read certificate authorities: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("no PEM certificate in %s", s.authorityFile)
		}
		s.authorities = pool
	}
	s.certificate = &certificate
	s.modTimes = modTimes
	return nil
}

func (s *Store) currentModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, file := range []string{s.certificateFile, s.privateKeyFile, s.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}
