package commit

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/radishstand/radishstand/api/settings"
)

// storedSnapshot is the body of a snapshot object, compressed with gzip (RFC 1952). The digest of the tree tells a damaged
// object.
type storedSnapshot struct {
	Version int64           `json:"version"`
	SHA256  string          `json:"sha256"`
	Tree    json.RawMessage `json:"tree"`
}

// maxSnapshotBytes bounds an uncompressed snapshot, so that a damaged object does not fill the memory.
const maxSnapshotBytes = MaxTreeBytes + 4<<10

func encodeSnapshot(version int64, tree *settings.Tree) []byte {
	data := tree.Encode()
	digest := sha256.Sum256(data)
	var body bytes.Buffer
	compressed := gzip.NewWriter(&body)
	err := json.NewEncoder(compressed).Encode(storedSnapshot{Version: version, SHA256: hex.EncodeToString(digest[:]), Tree: data})
	if err == nil {
		err = compressed.Close()
	}
	if err != nil {
		panic("commit: encoding a snapshot: " + err.Error()) // the tree is valid JSON, and a buffer takes every write
	}
	return body.Bytes()
}

// decodeSnapshot also reads the snapshots of earlier nodes, which are not compressed.
func decodeSnapshot(version int64, body []byte) (*settings.Tree, bool) {
	body, ok := uncompressed(body)
	var stored storedSnapshot
	if !ok || json.Unmarshal(body, &stored) != nil || stored.Version != version {
		return nil, false
	}
	if digest := sha256.Sum256(stored.Tree); hex.EncodeToString(digest[:]) != stored.SHA256 {
		return nil, false
	}
	tree, err := settings.ParseStored(stored.Tree)
	return tree, err == nil
}

// uncompressed returns a body that is not compressed as it is. The JSON of a snapshot starts with a brace.
func uncompressed(body []byte) ([]byte, bool) {
	if bytes.HasPrefix(body, []byte("{")) {
		return body, true
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	// gzip checks its own sum only at the end, so a body that is cut off or too long fails.
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes+1))
	return data, err == nil && len(data) <= maxSnapshotBytes
}
