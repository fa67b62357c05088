// Package settings reads a node's settings: who and where it is, its
// addresses and its secrets. A node knows nothing else when it starts.
//
//	s, err := settings.Load("node.yaml")
//
// Reading is strict. The error lists all mistakes with their lines, and a
// node whose settings have any does not start.
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

// Settings are what a node is told when it starts.
type Settings struct {
	Host   string
	Domain string
	Region string

	// Addresses to listen at; the first three are also told to others.
	CallerAddr   string // callers
	CallAddr     string // calls from peers
	PeerAddr     string // peers
	OperatorAddr string // operators, metrics and health
	AnnounceAddr string // targets of this host
	// AdvertisedPeerAddr is the peer address to tell others instead of Peer, where
	// they reach it by another one.
	AdvertisedPeerAddr string
	// AdvertisedCallAddr is the same for Call.
	AdvertisedCallAddr string

	Contacts []string
	// ExpectedHosts is about how many hosts the mesh has.
	ExpectedHosts int
	Platform      Platform
	Security      Security
	// Operators and Callers map the SHA-256 of a token to a name.
	Operators Tokens
	Callers   Tokens

	// StallTimeout bounds the time without a byte moving in a call.
	StallTimeout time.Duration
	// DrainTimeout bounds the time that a stopping node waits for calls in flight.
	DrainTimeout time.Duration

	LogJSON  bool
	LogLevel logrus.Level
}

// Platform is where the platform's service is.
type Platform struct {
	URL   string
	Token string
	// Region is the region that the store is in, if known.
	Region string
}

// Security names the files of the node's keys. Plain turns TLS off, and has to
// be said: leaving keys out by oversight must not.
type Security struct {
	Plain bool
	Cert  string
	Key   string
	CA    string
}

// Tokens maps the hexadecimal SHA-256 of a token to the name of its holder.
type Tokens map[string]string

// Name returns the holder of a token.
func (t Tokens) Name(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := t[hex.EncodeToString(sum[:])]
	return name, ok
}

// Defaults and ranges.
const (
	defaultStall = 10 * time.Second
	defaultDrain = 20 * time.Second
	minStall     = 100 * time.Millisecond
	maxStall     = 10 * time.Minute
	maxDrain     = 10 * time.Minute
	defaultHosts = 100
	maxHosts     = 100000
	maxFile      = 1 << 20
)

// Load reads a file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, errors.WithStack(err)
	}
	return Parse(b)
}

// Parse reads settings from YAML. Its error is strict.Mistakes.
func Parse(b []byte) (Settings, error) {
	r := reader{s: Settings{ExpectedHosts: defaultHosts, StallTimeout: defaultStall, DrainTimeout: defaultDrain, LogLevel: logrus.InfoLevel}}
	if len(b) > maxFile {
		r.AddAt(0, 0, "the settings are larger than %d bytes", maxFile)
		return r.s, r.Err()
	}
	root, ok := r.Parse(b)
	if !ok {
		return r.s, r.Err()
	}
	r.top(root)
	return r.s, r.Err()
}

type reader struct {
	strict.Reader
	s Settings
}

func (r *reader) top(root *yaml.Node) {
	s := &r.s
	secured := false
	r.Fields(root, "the settings", map[string]strict.Field{
		"host":          {Read: func(n *yaml.Node) { s.Host = r.Name(n) }, Need: true},
		"domain":        {Read: func(n *yaml.Node) { s.Domain = r.Name(n) }, Need: true},
		"region":        {Read: func(n *yaml.Node) { s.Region = r.Name(n) }, Need: true},
		"caller":        {Read: func(n *yaml.Node) { s.CallerAddr = r.address(n) }, Need: true},
		"call":          {Read: func(n *yaml.Node) { s.CallAddr = r.address(n) }, Need: true},
		"peer":          {Read: func(n *yaml.Node) { s.PeerAddr = r.address(n) }, Need: true},
		"announced":     {Read: func(n *yaml.Node) { s.AdvertisedPeerAddr = r.address(n) }},
		"announcedcall": {Read: func(n *yaml.Node) { s.AdvertisedCallAddr = r.address(n) }},
		"operator":      {Read: func(n *yaml.Node) { s.OperatorAddr = r.address(n) }, Need: true},
		"announce":      {Read: func(n *yaml.Node) { s.AnnounceAddr = r.address(n) }, Need: true},
		"contacts":      {Read: func(n *yaml.Node) { s.Contacts = r.addresses(n) }},
		"hosts":         {Read: func(n *yaml.Node) { s.ExpectedHosts = r.Number(n, 1, maxHosts) }},
		"platform":      {Read: r.platform, Need: true},
		"security":      {Read: func(n *yaml.Node) { secured = true; r.security(n) }, Need: true},
		"operators":     {Read: func(n *yaml.Node) { s.Operators = r.tokens(n) }},
		"callers":       {Read: func(n *yaml.Node) { s.Callers = r.tokens(n) }},
		"stall":         {Read: func(n *yaml.Node) { s.StallTimeout = r.Duration(n, minStall, maxStall) }},
		"drain":         {Read: func(n *yaml.Node) { s.DrainTimeout = r.Duration(n, 0, maxDrain) }},
		"log":           {Read: r.log},
	})
	if secured && s.Security.Plain && len(s.Operators) == 0 && !loopback(s.OperatorAddr) {
		r.Add(root, "with \"security: plain\" the operator address must be on loopback, or operators must have tokens")
	}
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return err == nil && net.ParseIP(host).IsLoopback()
}

// address reads an IP address with a port. Names are refused: a node must
// start while nothing that resolves names can be reached.
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
		"url":    {Read: func(n *yaml.Node) { p.URL = r.url(n) }, Need: true},
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
		"cert": {Read: func(n *yaml.Node) { s.Cert = r.Scalar(n) }, Need: true},
		"key":  {Read: func(n *yaml.Node) { s.Key = r.Scalar(n) }, Need: true},
		"ca":   {Read: func(n *yaml.Node) { s.CA = r.Scalar(n) }, Need: true},
	})
}

func (r *reader) tokens(n *yaml.Node) Tokens {
	out := make(Tokens)
	for _, x := range r.List(n) {
		name, token := "", ""
		r.Fields(x, "a token", map[string]strict.Field{
			"name":   {Read: func(n *yaml.Node) { name = r.Name(n) }, Need: true},
			"sha256": {Read: func(n *yaml.Node) { token = r.sum(n) }, Need: true},
		})
		if _, ok := out[token]; ok {
			r.Add(x, "the token of %q is listed twice", name)
		}
		out[token] = name
	}
	return out
}

func (r *reader) sum(n *yaml.Node) string {
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
