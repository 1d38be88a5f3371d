// Package tlspolicy makes the decisions about TLS connections to pool members: which policy applies to a member, whether its
// certificate chain is acceptable, why a handshake failed, and when a handshake may start. It does no I/O and reads no clock.
// Package secure connects, reads the files of policies and watches them.
package tlspolicy

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"path"
	"strings"
	"time"
)

// Pin is the SHA-256 of a certificate's SubjectPublicKeyInfo, as in RFC 7469.
type Pin [sha256.Size]byte

// ParsePin parses a pin in base64, with or without the prefix "sha256/".
func ParsePin(text string) (Pin, error) {
	var p Pin
	raw, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(text, "sha256/"))
	if err != nil || len(raw) != len(p) {
		return p, fmt.Errorf("%q is not a SHA-256 in base64", text)
	}
	copy(p[:], raw)
	return p, nil
}

// PinOf returns the pin of a certificate.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

// String formats the pin as ParsePin accepts it.
func (p Pin) String() string { return "sha256/" + base64.StdEncoding.EncodeToString(p[:]) }

// Policy contains the requirements for connections to a group of pool members.
type Policy struct {
	Name         string // for logs and errors
	Destinations []int  // destinations that the policy applies to; empty for all
	Hosts        string // path.Match pattern of the member's name or address; empty for all
	Plain        bool   // no TLS; the fields below do not apply

	ServerName       string // name that the certificate must have; empty for the host of the address
	RootFiles        []string
	RootDirs         []string
	SystemRoots      bool
	MinVersion       uint16 // tls.VersionTLS12 or tls.VersionTLS13
	Pins             []Pin  // a certificate of the verified chain must match one of them; empty to accept any
	Certificate, Key string // files of the client certificate and its key; empty for none
	Sessions         int    // sessions kept for resumption, over all members of a destination; 0 for none
}

// Check returns an error that names the first invalid field.
func (p *Policy) Check() error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("policy %q: "+format, append([]any{p.Name}, args...)...)
	}
	if _, err := path.Match(p.Hosts, ""); err != nil {
		return invalid("hosts: %q is not a pattern", p.Hosts)
	}
	if p.Plain {
		if p.ServerName != "" || len(p.RootFiles)+len(p.RootDirs)+len(p.Pins) > 0 || p.SystemRoots || p.Certificate != "" || p.Key != "" {
			return invalid("plain connections are not verified: the policy must set no TLS field")
		}
		return nil
	}
	switch {
	case len(p.RootFiles)+len(p.RootDirs) == 0 && !p.SystemRoots:
		return invalid("no trust roots: name root_file, root_dir or system_roots")
	case p.MinVersion != tls.VersionTLS12 && p.MinVersion != tls.VersionTLS13:
		return invalid("min_version: %#x is not TLS 1.2 or 1.3", p.MinVersion)
	case len(p.Pins) == 1:
		return invalid("pin: a single pin blocks all connections when its key is replaced; add the pin of a spare key")
	case (p.Certificate == "") != (p.Key == ""):
		return invalid("certificate and key must be set together")
	case p.Sessions < 0 || p.Sessions > 1<<16:
		return invalid("sessions: %d is not within 0 to 65536", p.Sessions)
	case strings.ContainsAny(p.ServerName, " /:*"):
		return invalid("server_name: %q is not a host name", p.ServerName)
	}
	seen := map[Pin]bool{}
	for _, pin := range p.Pins {
		if seen[pin] {
			return invalid("pin: %v is listed twice; add the pin of another key", pin)
		}
		seen[pin] = true
	}
	return nil
}

// Table is a list of policies. The first policy that matches a pool member applies. A member without a match is connected
// without TLS.
type Table []Policy

// Check returns an error if a policy is invalid or if two policies have the same name.
func (t Table) Check() error {
	names := map[string]bool{}
	for i := range t {
		if err := t[i].Check(); err != nil {
			return err
		}
		if names[t[i].Name] {
			return fmt.Errorf("two policies are named %q", t[i].Name)
		}
		names[t[i].Name] = true
	}
	return nil
}

// Match returns the policy of a pool member with the given destination, name and address; nil for a connection without TLS.
func (t Table) Match(destination int, host, dial string) *Policy {
	for i := range t {
		if p := &t[i]; p.matches(destination, host, dial) {
			if p.Plain {
				return nil
			}
			return p
		}
	}
	return nil
}

// matches reports whether the policy applies to a pool member with the given destination, name and address.
func (p *Policy) matches(destination int, host, dial string) bool {
	for i, d := range p.Destinations {
		if d == destination {
			break
		} else if i == len(p.Destinations)-1 {
			return false
		}
	}
	if p.Hosts == "" {
		return true
	}
	address, _, err := net.SplitHostPort(dial)
	if err != nil {
		address = dial
	}
	byName, _ := path.Match(p.Hosts, host) // Check has validated the pattern
	byAddress, _ := path.Match(p.Hosts, address)
	return byName || byAddress
}

// ServerNameOf returns the name that the certificate of the member at address dial must have.
func (p *Policy) ServerNameOf(dial string) string {
	if p.ServerName != "" {
		return p.ServerName
	}
	host, _, err := net.SplitHostPort(dial)
	if err != nil {
		return dial
	}
	return host
}

// Accept returns an error if a connection that crypto/tls has established must not be used. crypto/tls has verified the chain of a
// new connection. Accept verifies the chain of a resumed connection again, because the roots may have changed and certificates may
// have expired since. It then checks the pins.
func (p *Policy) Accept(cs *tls.ConnectionState, name string, roots *x509.CertPool, now time.Time) error {
	if len(cs.PeerCertificates) == 0 {
		return &Failure{Cause: NoCertificate}
	}
	leaf := cs.PeerCertificates[0]
	chains := cs.VerifiedChains
	if cs.DidResume || len(chains) == 0 {
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		var err error
		if chains, err = leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: name, CurrentTime: now}); err != nil {
			return classifyX509(err, leaf)
		}
	}
	if len(p.Pins) == 0 {
		return nil
	}
	for _, chain := range chains {
		for _, c := range chain {
			for _, pin := range p.Pins {
				if PinOf(c) == pin {
					return nil
				}
			}
		}
	}
	return newFailure(PinMissing, leaf, nil)
}

// Cause is the reason for which a handshake failed.
type Cause int

// The causes.
const (
	Other Cause = iota
	Expired
	NotYetValid
	UnknownRoot
	WrongName
	PinMissing
	NoCertificate
	UnsuitableCertificate // the certificate is not for servers, or its chain violates a constraint
	ClientRefused         // the server requires a client certificate, or another one
	NoCommonVersion       // no version or cipher suite in common
	NotTLS                // the server does not speak TLS
	Stalled               // no response in time
	ConnectionBroken      // the connection was closed or reset
	causeCount
)

var causeNames = [causeCount]string{"other", "expired", "not yet valid", "unknown root", "wrong name", "pin", "no certificate",
	"unsuitable certificate", "client certificate refused", "no version in common", "not TLS", "stalled", "broken"}

// String returns the name of the cause for logs and counters.
func (c Cause) String() string { return causeNames[c] }

// CauseCount is the number of causes.
const CauseCount = int(causeCount)

// Failure is the error of a failed handshake, with details of the certificate that the server presented.
type Failure struct {
	Cause               Cause
	Subject             string
	NotBefore, NotAfter time.Time
	Fingerprint         string // SHA-256 of the certificate, hexadecimal; empty without a certificate
	Err                 error
}

// Error describes the cause and, if known, the certificate.
func (f *Failure) Error() string {
	text := "tls: " + f.Cause.String()
	if f.Fingerprint != "" {
		text += fmt.Sprintf(": certificate of %q, valid %s to %s, SHA-256 %s", f.Subject, f.NotBefore.UTC().Format(time.DateOnly),
			f.NotAfter.UTC().Format(time.DateTime), f.Fingerprint)
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error, if any.
func (f *Failure) Unwrap() error { return f.Err }

// newFailure returns a Failure with the details of leaf, which may be nil.
func newFailure(cause Cause, leaf *x509.Certificate, err error) *Failure {
	f := &Failure{Cause: cause, Err: err}
	if leaf != nil {
		sum := sha256.Sum256(leaf.Raw)
		f.Subject, f.NotBefore, f.NotAfter, f.Fingerprint = leaf.Subject.String(), leaf.NotBefore, leaf.NotAfter, hex.EncodeToString(sum[:])
	}
	return f
}

// Classify determines the cause of a handshake error. It uses now to distinguish an expired certificate from one that is not yet
// valid.
func Classify(err error, now time.Time) *Failure {
	var known *Failure
	if errors.As(err, &known) {
		return known
	}
	var verify *tls.CertificateVerificationError
	if errors.As(err, &verify) {
		var leaf *x509.Certificate
		if len(verify.UnverifiedCertificates) > 0 {
			leaf = verify.UnverifiedCertificates[0]
		}
		f := classifyX509(verify.Err, leaf)
		if f.Cause == Expired && leaf != nil && now.Before(leaf.NotBefore) {
			f.Cause = NotYetValid
		}
		return f
	}
	var alert tls.AlertError
	var record tls.RecordHeaderError
	var timeout net.Error
	text := err.Error()
	switch {
	case errors.As(err, &record), strings.Contains(text, "first record does not look like a TLS handshake"),
		strings.Contains(text, "unexpected message"), strings.Contains(text, "oversized record"):
		return newFailure(NotTLS, nil, err)
	case errors.As(err, &alert):
		if cause, ok := alertCauses[uint8(alert)]; ok {
			return newFailure(cause, nil, err)
		}
	case strings.Contains(text, "remote error: tls: "): // crypto/tls reports an alert of the server with an unexported type
		for number, cause := range alertCauses {
			if strings.HasSuffix(text, tls.AlertError(number).Error()) {
				return newFailure(cause, nil, err)
			}
		}
	case strings.Contains(text, "unsupported version"), strings.Contains(text, "unsupported protocol version"),
		strings.Contains(text, "no cipher suite"):
		return newFailure(NoCommonVersion, nil, err)
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
		return newFailure(Stalled, nil, err)
	}
	if strings.Contains(text, "EOF") || strings.Contains(text, "reset") || strings.Contains(text, "broken pipe") || strings.Contains(text, "closed") {
		return newFailure(ConnectionBroken, nil, err)
	}
	return newFailure(Other, nil, err)
}

// alertCauses maps the alerts with which servers end a handshake (RFC 8446, section 6.2). Servers send handshake_failure if no
// version or cipher suite is in common. Some also send it if the client certificate is missing.
var alertCauses = map[uint8]Cause{
	40:  NoCommonVersion, // handshake_failure
	70:  NoCommonVersion, // protocol_version
	71:  NoCommonVersion, // insufficient_security
	42:  ClientRefused,   // bad_certificate
	43:  ClientRefused,   // unsupported_certificate
	44:  ClientRefused,   // certificate_revoked
	45:  ClientRefused,   // certificate_expired
	46:  ClientRefused,   // certificate_unknown
	48:  ClientRefused,   // unknown_ca
	49:  ClientRefused,   // access_denied
	116: ClientRefused,   // certificate_required
	112: WrongName,       // unrecognized_name
}

// classifyX509 determines the cause of an error of package x509.
func classifyX509(err error, leaf *x509.Certificate) *Failure {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var name x509.HostnameError
	cause := UnsuitableCertificate
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		cause = Expired
		if invalid.Cert != nil && leaf != nil && !bytes.Equal(invalid.Cert.Raw, leaf.Raw) {
			leaf = invalid.Cert // another certificate of the chain has expired: report that one
		}
	case errors.As(err, &unknown):
		cause = UnknownRoot
	case errors.As(err, &name):
		cause = WrongName
	}
	return newFailure(cause, leaf, err)
}
