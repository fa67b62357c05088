// Package settings reads a node's settings: its host name, failure domain and
// region, its addresses and its secrets. A node needs nothing else to start.
//
//	s, err := settings.Load("node.yaml")
//
// Parsing is strict. The error lists all mistakes with their lines, and a node
// whose settings have any mistake does not start.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/strict"
)

// Settings are the settings of one node.
type Settings struct {
	Host   string
	Domain string
	Region string

	// Addresses to listen on. PeerAddr and CallAddr are also advertised to other
	// nodes.
	CallerAddr   string // requests of callers
	CallAddr     string // calls that other nodes forward to this host's targets
	PeerAddr     string // gossip and configuration between nodes
	OperatorAddr string // operators, metrics and health checks
	AnnounceAddr string // announcements of this host's targets
	// AdvertisedPeerAddr, if set, is advertised instead of PeerAddr, for nodes
	// that other nodes reach at another address.
	AdvertisedPeerAddr string
	// AdvertisedCallAddr, if set, is advertised instead of CallAddr.
	AdvertisedCallAddr string

	// Contacts are the peer addresses of nodes through which a starting node joins
	// the mesh.
	Contacts []string
	// ExpectedHosts is the approximate number of hosts in the mesh.
	ExpectedHosts int
	Platform      Platform
	Security      Security
	// Operators and Callers are the tokens of operators and callers.
	Operators Tokens
	Callers   Tokens

	// StallTimeout is how long a call may transfer no byte before it fails.
	StallTimeout time.Duration
	// DrainTimeout bounds a graceful shutdown, including the wait for calls in
	// flight.
	DrainTimeout time.Duration

	// LogJSON selects JSON instead of text as the format of the log.
	LogJSON  bool
	LogLevel logrus.Level
}

// Platform locates the platform's store.
type Platform struct {
	URL   string
	Token string
	// Region is the region of the store, if known.
	Region string
}

// Security has the paths of the node's key files. Plain turns TLS off. It must be
// set explicitly, so that keys left out by mistake do not turn TLS off.
type Security struct {
	Plain bool
	Cert  string
	Key   string
	CA    string
}

// Tokens maps the hexadecimal SHA-256 of a token to the name of its holder.
type Tokens map[string]string

// Name returns the name of a token's holder, and false for an unknown token.
func (t Tokens) Name(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := t[hex.EncodeToString(sum[:])]
	return name, ok
}

// Defaults and limits.
const (
	defaultStall = 10 * time.Second
	defaultDrain = 20 * time.Second
	minStall     = 100 * time.Millisecond
	maxStall     = 10 * time.Minute
	maxDrain     = 10 * time.Minute
	defaultHosts = 100
	maxHosts     = 100000
	maxFileBytes = 1 << 20
)

// Load reads settings from a file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path) //nolint:gosec // the operator chooses the file
	if err != nil {
		return Settings{}, errors.WithStack(err)
	}
	return Parse(b)
}

// Parse reads settings from YAML. Its error, if any, is of type strict.Mistakes.
func Parse(b []byte) (Settings, error) {
	r := reader{s: Settings{ExpectedHosts: defaultHosts, StallTimeout: defaultStall, DrainTimeout: defaultDrain, LogLevel: logrus.InfoLevel}}
	if len(b) > maxFileBytes {
		r.AddAt(0, 0, "the settings are larger than %d bytes", maxFileBytes)
		return r.s, r.Err()
	}
	root, ok := r.Parse(b)
	if !ok {
		return r.s, r.Err()
	}
	r.readSettings(root)
	return r.s, r.Err()
}

type reader struct {
	strict.Reader
	s Settings
}

func (r *reader) readSettings(root *yaml.Node) {
	s := &r.s
	hasSecurity := false
	r.Fields(root, "the settings", map[string]strict.Field{
		"host":          {Read: func(n *yaml.Node) { s.Host = r.Name(n) }, Required: true},
		"domain":        {Read: func(n *yaml.Node) { s.Domain = r.Name(n) }, Required: true},
		"region":        {Read: func(n *yaml.Node) { s.Region = r.Name(n) }, Required: true},
		"caller":        {Read: func(n *yaml.Node) { s.CallerAddr = r.address(n) }, Required: true},
		"call":          {Read: func(n *yaml.Node) { s.CallAddr = r.address(n) }, Required: true},
		"peer":          {Read: func(n *yaml.Node) { s.PeerAddr = r.address(n) }, Required: true},
		"announced":     {Read: func(n *yaml.Node) { s.AdvertisedPeerAddr = r.address(n) }},
		"announcedcall": {Read: func(n *yaml.Node) { s.AdvertisedCallAddr = r.address(n) }},
		"operator":      {Read: func(n *yaml.Node) { s.OperatorAddr = r.address(n) }, Required: true},
		"announce":      {Read: func(n *yaml.Node) { s.AnnounceAddr = r.address(n) }, Required: true},
		"contacts":      {Read: func(n *yaml.Node) { s.Contacts = r.addresses(n) }},
		"hosts":         {Read: func(n *yaml.Node) { s.ExpectedHosts = r.Number(n, 1, maxHosts) }},
		"platform":      {Read: r.platform, Required: true},
		"security":      {Read: func(n *yaml.Node) { hasSecurity = true; r.security(n) }, Required: true},
		"operators":     {Read: func(n *yaml.Node) { s.Operators = r.tokens(n) }},
		"callers":       {Read: func(n *yaml.Node) { s.Callers = r.tokens(n) }},
		"stall":         {Read: func(n *yaml.Node) { s.StallTimeout = r.Duration(n, minStall, maxStall) }},
		"drain":         {Read: func(n *yaml.Node) { s.DrainTimeout = r.Duration(n, 0, maxDrain) }},
		"log":           {Read: r.log},
	})
	if hasSecurity && s.Security.Plain && len(s.Operators) == 0 && !loopback(s.OperatorAddr) {
		r.Add(root, "with \"security: plain\" the operator address must be on loopback, or operators must have tokens")
	}
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// address reads an IP address with a port. Host names are mistakes, because a
// node must be able to start while no name resolution is available.
func (r *reader) address(n *yaml.Node) string {
	s := r.Scalar(n)
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		r.Add(n, "%q must be an IP address and a port, such as 127.0.0.1:7101", s)
	}
	return s
}

func (r *reader) addresses(n *yaml.Node) []string {
	var out []string
	for _, x := range r.List(n) {
		out = append(out, r.address(x))
	}
	return out
}

func (r *reader) platform(n *yaml.Node) {
	p := &r.s.Platform
	r.Fields(n, "platform", map[string]strict.Field{
		"url":    {Read: func(n *yaml.Node) { p.URL = r.url(n) }, Required: true},
		"token":  {Read: func(n *yaml.Node) { p.Token = r.Scalar(n) }},
		"region": {Read: func(n *yaml.Node) { p.Region = r.Name(n) }},
	})
}

func (r *reader) url(n *yaml.Node) string {
	s := r.Scalar(n)
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		r.Add(n, "%q must be a URL that begins with http:// or https://", s)
	}
	return s
}

func (r *reader) security(n *yaml.Node) {
	s := &r.s.Security
	if n.Kind == yaml.ScalarNode {
		s.Plain = n.Value == "plain"
		if !s.Plain {
			r.Add(n, "security must be \"plain\" or have cert, key and ca")
		}
		return
	}
	r.Fields(n, "security", map[string]strict.Field{
		"cert": {Read: func(n *yaml.Node) { s.Cert = r.Scalar(n) }, Required: true},
		"key":  {Read: func(n *yaml.Node) { s.Key = r.Scalar(n) }, Required: true},
		"ca":   {Read: func(n *yaml.Node) { s.CA = r.Scalar(n) }, Required: true},
	})
}

func (r *reader) tokens(n *yaml.Node) Tokens {
	out := make(Tokens)
	for _, x := range r.List(n) {
		name, sum := "", ""
		r.Fields(x, "a token", map[string]strict.Field{
			"name":   {Read: func(n *yaml.Node) { name = r.Name(n) }, Required: true},
			"sha256": {Read: func(n *yaml.Node) { sum = r.tokenSum(n) }, Required: true},
		})
		if _, ok := out[sum]; ok {
			r.Add(x, "the token of %q is listed twice", name)
		}
		out[sum] = name
	}
	return out
}

// tokenSum reads the SHA-256 of a token.
func (r *reader) tokenSum(n *yaml.Node) string {
	s := r.Scalar(n)
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		r.Add(n, "sha256 must be the SHA-256 of the token, in 64 hexadecimal digits")
	}
	return s
}

func (r *reader) log(n *yaml.Node) {
	r.Fields(n, "log", map[string]strict.Field{
		"format": {Read: func(n *yaml.Node) {
			r.s.LogJSON = strict.Choice(&r.Reader, n, map[string]bool{"text": false, "json": true})
		}},
		"level": {Read: func(n *yaml.Node) {
			r.s.LogLevel = strict.Choice(&r.Reader, n, map[string]logrus.Level{
				"debug": logrus.DebugLevel, "info": logrus.InfoLevel,
				"warn": logrus.WarnLevel, "error": logrus.ErrorLevel,
			})
		}},
	})
}
