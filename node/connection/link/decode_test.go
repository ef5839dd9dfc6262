package link

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
)

func bodyFrames(size int) map[string]*linkpb.Frame {
	body, header := bytes.Repeat([]byte{'x'}, size), []*linkpb.Header{{Name: "X", Value: []byte("\xe9")}}
	return map[string]*linkpb.Frame{
		"call": {Stream: 300, Version: 7, SentMs: 9, Body: &linkpb.Frame_Call{Call: &linkpb.Call{
			Method: "POST", Target: "/x", Id: "a", Header: header, Body: body, LeftMs: 5, Idempotent: true, RateLimit: 1.5}}},
		"answer": {Stream: 300, Body: &linkpb.Frame_Answer{Answer: &linkpb.Answer{
			Status: 200, Header: header, Body: body, Load: &linkpb.Load{Queued: 1}}}},
	}
}

// Guards against a field that is lost or changed where the body is not copied.
func TestDecodedFrameIsTheEncodedOne(t *testing.T) {
	for _, size := range []int{0, 10, minAliasedBytes, 3 * minAliasedBytes} {
		for name, f := range bodyFrames(size) {
			encoded, err := proto.Marshal(f)
			require.NoError(t, err)
			decoded, err := decodeFrame(encoded)
			require.NoError(t, err)
			want := &linkpb.Frame{}
			require.NoError(t, proto.Unmarshal(encoded, want))
			if size == 0 {
				continue // an empty body may be nil
			}
			assert.True(t, proto.Equal(want, decoded), "%s of %d bytes", name, size)
			assert.EqualValues(t, 300, streamOf(encoded[:8]))
		}
	}
}

// Guards against a large body that takes twice its size.
func TestLargeBodyIsNotCopied(t *testing.T) {
	for name, f := range bodyFrames(4 << 20) {
		encoded, err := proto.Marshal(f)
		require.NoError(t, err)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				_, _ = decodeFrame(encoded)
			}
		})
		assert.Less(t, result.AllocedBytesPerOp(), int64(64<<10), name)
	}
}

// FuzzDecodeFrame compares the decoding that does not copy a body with that of the library.
func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range bodyFrames(100) {
		encoded, err := proto.Marshal(frame)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		want := &linkpb.Frame{}
		wantErr := proto.Unmarshal(encoded, want)
		rest, body, err := cutBody(encoded)
		if wantErr == nil {
			require.NoError(t, err)
			require.LessOrEqual(t, len(body), len(encoded))
			require.NoError(t, proto.Unmarshal(rest, &linkpb.Frame{}))
		}
	})
}
