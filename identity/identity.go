// Package identity provides the certificates with which nodes authenticate each other,
// and the hashes of callers' tokens.
package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"os"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
)

// ServerName is the DNS name in every node's certificate. The common name identifies
// the node.
const ServerName = "geraniumdock"

const certificateValidity = 10 * 365 * 24 * time.Hour

// Identity is a node's certificate and key, with the certificate authority that signs
// the certificates of its peers.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	node        string
}

// Node returns the node name in the certificate.
func (i Identity) Node() string { return i.node }

// TLS returns a configuration for either end of a connection with mutual
// authentication. The protocols are offered for ALPN.
func (i Identity) TLS(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authority,
		ClientCAs:    i.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		NextProtos:   protocols,
		MinVersion:   tls.VersionTLS13,
	}
}

// PeerName returns the node name in the peer's certificate, or "" if there is none.
func PeerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// Load reads an identity from PEM files with the authority's certificate, the node's
// certificate and the node's key.
func Load(authority, certificate, key string) (Identity, error) {
	ca, err := os.ReadFile(authority)
	if err != nil {
		return Identity{}, gd.Invalid.Wrapf(err, "certificates.authority")
	}
	cert, err := os.ReadFile(certificate)
	if err != nil {
		return Identity{}, gd.Invalid.Wrapf(err, "certificates.certificate")
	}
	k, err := os.ReadFile(key)
	if err != nil {
		return Identity{}, gd.Invalid.Wrapf(err, "certificates.key")
	}
	return Parse(ca, cert, k)
}

// Parse returns the identity in the given PEM data.
func Parse(authority, certificate, key []byte) (Identity, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Identity{}, gd.Invalid.Errorf("certificates.authority: no PEM certificate found")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Identity{}, gd.Invalid.Wrapf(err, "certificates.certificate and key")
	}
	return Identity{certificate: pair, authority: pool, node: pair.Leaf.Subject.CommonName}, nil
}

// Authority is a certificate authority that signs nodes' certificates. It is meant for
// the demo, tests and small installations.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "authority key")
	}
	t := template("geraniumdock authority")
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "authority certificate")
	}
	return &Authority{cert, key, encodePEM("CERTIFICATE", der)}, nil
}

func template(name string) *x509.Certificate {
	now := clock.System{}.Now().Std()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name}, // CreateCertificate chooses the serial number
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(certificateValidity),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return a.pem }

// Issue returns a new certificate and key for node in PEM.
func (a *Authority) Issue(node string) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, gd.Internal.Wrapf(err, "node key")
	}
	t := template(node)
	t.DNSNames = []string{ServerName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, k.Public(), a.key)
	if err != nil {
		return nil, nil, gd.Internal.Wrapf(err, "node certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return nil, nil, gd.Internal.Wrapf(err, "node key")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", keyDER), nil
}

// Identity returns a new identity for node.
func (a *Authority) Identity(node string) (Identity, error) {
	certificate, key, err := a.Issue(node)
	if err != nil {
		return Identity{}, err
	}
	return Parse(a.pem, certificate, key)
}

// TokenHash returns the hash of a caller's token, as the table stores it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// KeyPEM returns the authority's key in PEM.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return nil, gd.Internal.Wrapf(err, "authority key")
	}
	return encodePEM("EC PRIVATE KEY", der), nil
}

// ParseAuthority returns the authority with the given certificate and key in PEM.
func ParseAuthority(certificate, key []byte) (*Authority, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, gd.Invalid.Wrapf(err, "authority")
	}
	k, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, gd.Invalid.Errorf("authority: not an elliptic curve key")
	}
	return &Authority{pair.Leaf, k, certificate}, nil
}
