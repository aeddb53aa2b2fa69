package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// LinkTLSConfig returns the mutual TLS configuration of links between instances; both ends present a certificate signed
// by the authority. The name in the certificate is not checked, because instances connect to IP addresses that may
// change.
func LinkTLSConfig(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, trace.BadParameter("certificate %s with key %s: %v", certificate, key, err)
	}
	authorityPEM, err := os.ReadFile(authority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, trace.BadParameter("authority %s holds no certificate", authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// This turns off the client's check of name and signature; VerifyConnection checks the signature.
		InsecureSkipVerify: true, //nolint:gosec // See VerifyConnection.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, pool) },
	}, nil
}

func verifyPeer(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the other instance shows no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return trace.Wrap(err)
}
