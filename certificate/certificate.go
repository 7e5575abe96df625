// Package certificate serves TLS certificates from files and reads them again
// when the files change, so that a certificate is replaced without a restart.
//
// It owns the reading of PEM files. It must not import any package that listens.
//
// # Usage
//
//	store, err := certificate.New("instance.pem", "instance.key", "authority.pem")
//	server := store.Mutual()
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

// recheck is how long files are trusted before their times are looked at again.
const recheck = time.Second

// A Store represents one certificate with its private key and, for mutual TLS,
// the authorities that the other side must chain to. It is safe for concurrent
// use.
type Store struct {
	certificateFile string
	privateKeyFile  string
	authorityFile   string

	mutex       sync.Mutex
	checked     time.Time
	stamp       [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the files once and returns their store. An empty authorityFile
// leaves out the check of the other side.
func New(certificateFile, privateKeyFile, authorityFile string) (*Store, error) {
	s := &Store{certificateFile: certificateFile, privateKeyFile: privateKeyFile, authorityFile: authorityFile}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// Serving returns the configuration of a server that shows the certificate.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
	}
}

// Mutual returns the configuration of a server that also demands a certificate
// from the client.
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

// Client returns the configuration of outgoing connections. Each connection uses
// what the files hold when it is opened, so the other side is verified here and
// not by the fixed authorities that crypto/tls would take.
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

// verify checks the other side's chain and that it is for the dialled address.
func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side shows no certificate")
	}
	_, authorities := s.current()
	options := x509.VerifyOptions{Roots: authorities, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns what the files hold. Files that cannot be read any more leave
// the last good ones in use.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.checked) > recheck && s.stamp != s.stamps() {
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
	s.checked = time.Now()
	stamp := s.stamps()
	certificate, err := tls.LoadX509KeyPair(s.certificateFile, s.privateKeyFile)
	if err != nil {
		return fmt.Errorf("read certificate %s: %w", s.certificateFile, err)
	}
	if s.authorityFile != "" {
		data, err := os.ReadFile(s.authorityFile)
		if err != nil {
			return fmt.Errorf("read authorities: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return fmt.Errorf("%s holds no certificate", s.authorityFile)
		}
		s.authorities = pool
	}
	s.certificate = &certificate
	s.stamp = stamp
	return nil
}

func (s *Store) stamps() [3]time.Time {
	var stamp [3]time.Time
	for i, file := range []string{s.certificateFile, s.privateKeyFile, s.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}
