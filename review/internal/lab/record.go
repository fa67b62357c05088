// Package lab starts a small deployment for the review's scripts: nodes of the project as
// separate processes, and stand-ins for the platform's store, the upstreams and the
// clients, all on loopback addresses.
package lab

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Elapsed returns the time since the start of the record.
func (r *Record) Elapsed() time.Duration { return time.Since(r.start) }

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", r.Elapsed().Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.f.WriteString(line)
}

// Close closes the file.
func (r *Record) Close() { _ = r.f.Close() }

// NewID returns a random id of 16 hexadecimal digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
