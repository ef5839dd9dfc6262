package commit

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
)

// Guards against a snapshot that cannot be decoded, also one of an earlier release, and against accepting a damaged one.
// Logs the sizes.
func TestSnapshotBody(t *testing.T) {
	for _, size := range [][2]int{{3, 4}, {8, 70}, {8, 700}} {
		tree := &settings.Tree{}
		var err error
		for p := range size[0] {
			var edits []settings.Edit
			for s := range size[1] {
				path := fmt.Sprintf("places.place-%d.services.service-%d", p, s)
				value := fmt.Appendf(nil, `{"call": {"timeoutMs": %d, "class": "critical"}, "admission": {"queueLength": %d}}`, 100+s, 10+s)
				edits = append(edits, settings.Set(path, value))
			}
			tree, err = tree.Apply(edits)
			require.NoError(t, err)
		}
		body, plain := encodeSnapshot(500, tree), tree.Encode()
		read, ok := decodeSnapshot(500, body)
		require.True(t, ok)
		require.JSONEq(t, string(plain), string(read.Encode()))
		t.Logf("%d places x %d services: tree %d bytes, snapshot %d bytes", size[0], size[1], len(plain), len(body))
		_, ok = decodeSnapshot(501, body)
		require.False(t, ok, "another version")
		for _, cut := range []int{0, 5, len(body) / 2, len(body) - 1} {
			_, ok = decodeSnapshot(500, body[:cut])
			require.False(t, ok, "truncated after %d bytes", cut)
		}
		flipped := bytes.Clone(body)
		flipped[len(body)/2] ^= 4
		_, ok = decodeSnapshot(500, flipped)
		require.False(t, ok, "a flipped bit")

		digest := sha256.Sum256(plain)
		earlier, err := json.Marshal(storedSnapshot{Version: 500, SHA256: hex.EncodeToString(digest[:]), Tree: plain})
		require.NoError(t, err)
		_, ok = decodeSnapshot(500, earlier)
		require.True(t, ok, "a snapshot without compression")
	}
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(bytes.Repeat([]byte(" "), maxSnapshotBytes+1))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, ok := decompress(bomb.Bytes())
	require.False(t, ok, "larger than maxSnapshotBytes")
}
