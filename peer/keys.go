package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const (
	// certificateDNSName is the DNS name in the certificate of every entry.
	certificateDNSName  = "greengageroute-entry"
	protocolName        = "greengageroute/1"
	keyReloadInterval   = 5 * time.Second
	certificateValidity = 5 * 365 * 24 * time.Hour
)

type (
	// Keys holds an entry's certificate and the authority that it trusts. It reloads
	// the files when the certificate file changes.
	Keys struct {
		files greengageroute.KeyPaths

		mu          sync.Mutex
		checkedAt   time.Time
		modifiedAt  time.Time
		certificate *tls.Certificate
		authorities *x509.CertPool
	}

	// KeyPair is a certificate and its private key in PEM.
	KeyPair struct {
		Certificate []byte
		Key         []byte
	}
)

// LoadKeys reads an entry's key files.
func LoadKeys(files greengageroute.KeyPaths) (*Keys, error) {
	keys := &Keys{files: files}
	_, _, err := keys.current()
	return keys, err
}

// current returns the certificate and the authorities. It checks the files for
// changes at most once every keyReloadInterval.
func (keys *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	now := time.Now()
	if keys.certificate != nil && now.Sub(keys.checkedAt) < keyReloadInterval {
		return keys.certificate, keys.authorities, nil
	}
	keys.checkedAt = now
	info, err := os.Stat(keys.files.Certificate)
	if err == nil && keys.certificate != nil && info.ModTime().Equal(keys.modifiedAt) {
		return keys.certificate, keys.authorities, nil
	}
	if err == nil {
		err = keys.load(info.ModTime())
	}
	if err != nil && keys.certificate == nil {
		return nil, nil, trace.Wrap(err, "reading the entry's keys; run \"greengageroute keys\" to create them")
	}
	// If new files cannot be read yet, because they are still being replaced, the
	// loaded keys stay in use.
	return keys.certificate, keys.authorities, nil
}

func (keys *Keys) load(modifiedAt time.Time) error {
	certificate, err := tls.LoadX509KeyPair(keys.files.Certificate, keys.files.Key)
	if err != nil {
		return trace.Wrap(err)
	}
	authority, err := os.ReadFile(keys.files.Authority)
	if err != nil {
		return trace.Wrap(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authority) {
		return trace.BadParameter("%q contains no PEM certificate", keys.files.Authority)
	}
	keys.certificate, keys.authorities, keys.modifiedAt = &certificate, authorities, modifiedAt
	return nil
}

func (keys *Keys) tlsConfig() (*tls.Config, error) {
	certificate, authorities, err := keys.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authorities, ClientCAs: authorities, ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName: certificateDNSName, NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
	}, nil
}

func (keys *Keys) serverTLSConfig() (*tls.Config, error) {
	config, err := keys.tlsConfig()
	if err != nil {
		return nil, err
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return keys.tlsConfig() }
	return config, nil
}

// NewAuthority creates the certificate authority that all entries trust.
func NewAuthority() (KeyPair, error) {
	template := certificateTemplate("greengageroute authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	return issue(template, nil)
}

// NewEntryKeys creates an entry's certificate, signed by the authority. Its common
// name is the name of the entry.
func NewEntryKeys(authority KeyPair, name string) (KeyPair, error) {
	signer, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	template := certificateTemplate(name)
	template.DNSNames = []string{certificateDNSName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return issue(template, &signer)
}

func certificateTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // rand.Reader never fails
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateValidity),
	}
}

// issue creates a key and signs the template with the signer, or with the new key
// itself if the signer is nil.
func issue(template *x509.Certificate, signer *tls.Certificate) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	parent, signingKey := template, any(key)
	if signer != nil {
		parent, signingKey = signer.Leaf, signer.PrivateKey
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signingKey)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
	}, nil
}
