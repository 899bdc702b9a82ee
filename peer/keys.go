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
	// peerName is the DNS name in every entry's certificate.
	peerName      = "greengageroute-entry"
	protocolName  = "greengageroute/1"
	keysRecheck   = 5 * time.Second
	certificateOK = 5 * 365 * 24 * time.Hour
)

type (
	// Keys holds what the files contain and reads them again when they change.
	Keys struct {
		files greengageroute.KeyPaths

		mu      sync.Mutex
		checked time.Time
		changed time.Time
		own     *tls.Certificate
		pool    *x509.CertPool
	}

	// KeyPair is a certificate and its key in PEM.
	KeyPair struct {
		Certificate []byte
		Key         []byte
	}
)

// LoadKeys reads the files.
func LoadKeys(files greengageroute.KeyPaths) (*Keys, error) {
	keys := &Keys{files: files}
	_, _, err := keys.current()
	return keys, err
}

func (keys *Keys) current() (*tls.Certificate, *x509.CertPool, error) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	now := time.Now()
	if keys.own != nil && now.Sub(keys.checked) < keysRecheck {
		return keys.own, keys.pool, nil
	}
	keys.checked = now
	info, err := os.Stat(keys.files.Certificate)
	if err == nil && keys.own != nil && info.ModTime().Equal(keys.changed) {
		return keys.own, keys.pool, nil
	}
	if err == nil {
		err = keys.read(info.ModTime())
	}
	if err != nil && keys.own == nil {
		return nil, nil, trace.Wrap(err, "reading the entry's keys; run \"greengageroute keys\" to make them")
	}
	// Keys that are being replaced and cannot be read yet leave the old in force.
	return keys.own, keys.pool, nil
}

func (keys *Keys) read(changed time.Time) error {
	own, err := tls.LoadX509KeyPair(keys.files.Certificate, keys.files.Key)
	if err != nil {
		return trace.Wrap(err)
	}
	authority, err := os.ReadFile(keys.files.Authority)
	if err != nil {
		return trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return trace.BadParameter("%q holds no certificate in PEM", keys.files.Authority)
	}
	keys.own, keys.pool, keys.changed = &own, pool, changed
	return nil
}

func (keys *Keys) config() (*tls.Config, error) {
	own, pool, err := keys.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{*own},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName: peerName, NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
	}, nil
}

func (keys *Keys) serverConfig() (*tls.Config, error) {
	config, err := keys.config()
	if err != nil {
		return nil, err
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return keys.config() }
	return config, nil
}

// NewAuthority makes the certificate that all entries trust.
func NewAuthority() (KeyPair, error) {
	template := certificate("greengageroute authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	return issue(template, nil)
}

// NewEntryKeys makes an entry's certificate, signed by the authority. Its
// common name is the entry's.
func NewEntryKeys(authority KeyPair, name string) (KeyPair, error) {
	signer, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	template := certificate(name)
	template.DNSNames = []string{peerName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return issue(template, &signer)
}

func certificate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // the system's source does not fail
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateOK),
	}
}

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
