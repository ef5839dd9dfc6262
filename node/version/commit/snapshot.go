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

// storedSnapshot is the body of a snapshot object, which is compressed with gzip (RFC 1952). The digest of the tree
// reveals a damaged object.
type storedSnapshot struct {
	Version int64           `json:"version"`
	SHA256  string          `json:"sha256"`
	Tree    json.RawMessage `json:"tree"`
}

// maxSnapshotBytes limits the size of a decompressed snapshot, so that a damaged object cannot exhaust the memory.
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
		panic("commit: encoding a snapshot: " + err.Error()) // the tree is valid JSON, and writes to a buffer do not fail
	}
	return body.Bytes()
}

// decodeSnapshot decodes and verifies a snapshot. It also accepts the uncompressed snapshots of earlier releases.
func decodeSnapshot(version int64, body []byte) (*settings.Tree, bool) {
	body, ok := decompress(body)
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

// decompress decompresses a body. It returns an uncompressed body, whose JSON starts with a brace, unchanged.
func decompress(body []byte) ([]byte, bool) {
	if bytes.HasPrefix(body, []byte("{")) {
		return body, true
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	// gzip verifies its checksum only at the end, so reading a truncated body fails. The length check rejects a body that is
	// too long.
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes+1))
	return data, err == nil && len(data) <= maxSnapshotBytes
}
