package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Record is a log line of a node. Fields that the line does not have are zero.
type Record struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Log is the node that wrote the line, as its log or the text before the line names it.
	Log string `json:"log"`

	// ID and Source are the call that the line is about.
	ID      string `json:"id,omitempty"`
	Source  string `json:"source,omitempty"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	// Peer is the address of another node, or "local".
	Peer   string `json:"peer,omitempty"`
	Status int    `json:"status,omitempty"`
	Cause  string `json:"cause,omitempty"`
	// Attempts is the number of attempts that may have reached a server, and Redirects that of servers that were busy.
	Attempts  *int  `json:"attempts,omitempty"`
	Redirects *int  `json:"referrals,omitempty"`
	TookMs    int64 `json:"tookMs,omitempty"`

	State     string  `json:"state,omitempty"`
	Ready     *bool   `json:"ready,omitempty"`
	Limited   *bool   `json:"limited,omitempty"`
	PerSecond float64 `json:"perSecond,omitempty"`
	Leaving   *bool   `json:"leaving,omitempty"`
	Version   uint64  `json:"version,omitempty"`
	Node      string  `json:"node,omitempty"`

	// Omitted and Dropped are the numbers of earlier lines that the log lacks.
	Omitted int `json:"omitted,omitempty"`
	Dropped int `json:"dropped,omitempty"`
}

// Read returns the records of a log. Text before a record, as tools that join the logs of several nodes write it, may name the
// node in its last word; otherwise the node is the one that the log itself names, or else the name of the file. Lines without a
// record are skipped.
func Read(r io.Reader, name string) ([]Record, error) {
	node := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var records []Record
	for lines.Scan() {
		prefix, _, found := strings.Cut(lines.Text(), "{")
		var record Record
		if !found || json.Unmarshal(lines.Bytes()[len(prefix):], &record) != nil || record.Time.IsZero() {
			continue
		}
		if record.Node != "" {
			node = record.Node
		}
		record.Log = node
		if words := strings.Fields(prefix); len(words) > 0 {
			record.Log = words[len(words)-1]
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	return records, nil
}
