package current

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/radishstand/radishstand/api/settings"
)

// sizedTree returns the JSON of a tree in which each service sets six settings at each place.
func sizedTree(places, services int) []byte {
	text := `{"places": {`
	for p := range places {
		if p > 0 {
			text += ","
		}
		text += fmt.Sprintf(`"place-%d": {"services": {`, p)
		body := make([]byte, 0, services*256)
		for s := range services {
			if s > 0 {
				body = append(body, ',')
			}
			body = fmt.Appendf(body, `"service-%d": {"match": {"pathPrefixes": ["/service-%d"]}, "call": {"timeoutMs": %d, "class": "critical"},
				"admission": {"queueLength": %d}, "retry": {"hedgeMinMs": 7, "budgetRatio": 0.2}}`, s, s, 100+s, 10+s)
		}
		text += string(body) + "}}"
	}
	return []byte(text + "}}")
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTree measures the time and memory of tree operations for several tree sizes.
func BenchmarkTree(b *testing.B) {
	for _, size := range []struct{ places, services int }{{3, 4}, {8, 70}, {8, 350}, {8, 700}} {
		name := fmt.Sprintf("places=%d/services=%d", size.places, size.services)
		text := sizedTree(size.places, size.services)
		before := heapBytes()
		tree, err := settings.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		treeBytes := heapBytes() - before
		before = heapBytes()
		snapshot := compile("place-1", 1, tree)
		snapshotBytes := heapBytes() - before
		encoded := tree.Encode()
		edit := []settings.Edit{settings.Set("places.place-1.services.service-1.call.timeoutMs", []byte("77"))}
		run := func(step string, f func()) {
			b.Run(name+"/"+step, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(len(encoded))/1024, "KB-json")
				b.ReportMetric(float64(treeBytes)/1024, "KB-tree")
				b.ReportMetric(float64(snapshotBytes)/1024, "KB-snapshot")
			})
		}
		run("parse", func() { _, _ = settings.Parse(text) })
		run("encode", func() { tree.Encode() })
		run("encoded bound", func() { tree.EncodedBound() })
		run("edit", func() { _, _ = tree.ApplyStored(edit) })
		run("merge", func() { _, _ = settings.Merge(tree, tree, edit) })
		run("compile", func() { compile("place-1", 1, tree) })
		run("match path", func() { snapshot.Match("10.0.0.1", "/service-2/view/7", "") })
	}
}

// BenchmarkCommittedEdits puts successive edits of the largest tree in force and then measures the heap, which would grow if
// old versions stayed reachable.
func BenchmarkCommittedEdits(b *testing.B) {
	tree, err := settings.Parse(sizedTree(8, 700))
	if err != nil {
		b.Fatal(err)
	}
	h := New("place-1")
	h.Offer(0, tree)
	version := int64(0)
	for b.Loop() {
		edit := settings.Set(fmt.Sprintf("places.place-1.services.service-%d.call.timeoutMs", version%700), []byte("77"))
		if tree, err = tree.ApplyStored([]settings.Edit{edit}); err != nil {
			b.Fatal(err)
		}
		version++
		h.Offer(version, tree)
	}
	b.ReportMetric(float64(heapBytes())/1024/1024, "MB-heap")
	runtime.KeepAlive(h)
}
