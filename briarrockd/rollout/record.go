package rollout

import (
	"encoding/json"
	"fmt"
	"time"
)

// Prefixes of the keys of the rows in the nodes' own table: the record of the newest order
// for each service, and a log of all orders.
const (
	RecordPrefix = "rollout/"
	LogPrefix    = "rolloutlog/"
)

// maxAge bounds the age of an order by the wall clock.
const maxAge = 24 * time.Hour

// LogEntry is a row of the log: how an order was given or, later, how it ended.
type LogEntry struct {
	State
	// Who has given the order; empty if it came from the users' platform.
	Who string `json:"who,omitempty"`
}

// LogKey returns the key of the log's row for an order.
func LogKey(service string, order uint64) string {
	return fmt.Sprintf("%s%s/%020d", LogPrefix, service, order)
}

// ParseRecord decodes a record. Its start is by the wall clock of the node that wrote it, so
// the age is kept within sensible bounds.
func ParseRecord(key string, value []byte, now time.Time) (State, bool) {
	var s State
	if json.Unmarshal(value, &s) != nil || s.Phase > Completed || RecordPrefix+s.Service != key {
		return State{}, false
	}
	s.StartedAt = now.Add(-min(max(now.Sub(s.StartedAt), 0), maxAge))
	return s, true
}
