package relay

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/geraniumdock/geraniumdock/server"
	"github.com/geraniumdock/geraniumdock/table"
)

const benchCallers = 20

// benchHistory returns two versions of a table: one with the given number of
// services and benchCallers callers at each, and one with a changed cell.
func benchHistory(b *testing.B, services int) *history {
	h := &history{chunks: table.Chunks{}, heads: []table.Head{{}}}
	e := table.Edit{ID: "first"}
	for c := range benchCallers {
		e.Changes = append(e.Changes, table.Change{Key: table.Key{Sheet: table.Callers, Row: fmt.Sprint("c", c), Column: "token-sha256"}, Value: fmt.Sprintf("%064x", c+1)})
	}
	for s := range services {
		name := fmt.Sprint("s", s)
		e.Changes = append(e.Changes, table.Change{Key: table.Key{Sheet: table.Services, Row: name, Column: "routes"}, Value: "/" + name})
		for c := range benchCallers {
			e.Changes = append(e.Changes,
				table.Change{Key: table.RowKey(fmt.Sprint("c", c), name, "weight"), Value: "2"},
				table.Change{Key: table.RowKey(fmt.Sprint("c", c), name, "timeout"), Value: "10s"})
		}
	}
	h.commit(b, e)
	h.commit(b, table.Edit{ID: "second", Changes: []table.Change{{Key: table.RowKey("c1", "s1", "weight"), Value: "3", ReadVersion: 1}}})
	return h
}

// BenchmarkHubPush measures the cost of one changed cell to a relay, by number of
// links. It includes the encoding of the pushes and the acknowledgements.
func BenchmarkHubPush(b *testing.B) {
	h := benchHistory(b, 44)
	for _, links := range []int{16, 32, 64, 256} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			var bytes int
			for range b.N {
				b.StopTimer()
				hub := newHub("hub", 1)
				hub.SetHead(0, h.heads[1], h.chunks)
				hub.Tick(1)
				var held []table.Hash
				for _, r := range h.heads[1].Refs {
					held = append(held, r.Hash)
				}
				for i := range links {
					hub.Join(1, &Hello{Node: fmt.Sprint("n", i), Version: 1, Held: held})
				}
				b.StartTimer()
				hub.SetHead(2, h.heads[2], h.chunks)
				encoded := map[Message][]byte{}
				for _, s := range hub.Tick(3) {
					if encoded[s.Message] == nil {
						encoded[s.Message], _ = Encode(s.Message)
					}
					bytes += len(encoded[s.Message])
					hub.Handle(3, s.To, &Ack{Version: 2})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/change")
			b.ReportMetric(float64(bytes)/float64(b.N*links), "bytes/link-change")
		})
	}
}

// BenchmarkAdopt measures the cost to a node of adopting a version with one
// changed cell, by number of services.
func BenchmarkAdopt(b *testing.B) {
	for _, services := range []int{11, 44, 176} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			h := benchHistory(b, services)
			full := &Push{Head: h.heads[1], Chunks: allChunks(h)}
			for range b.N {
				b.StopTimer()
				f := NewFollower("n", "dc", 1)
				f.Handle(full)
				b.StartTimer()
				f.Handle(&Push{Head: h.heads[2], Chunks: allChunks(h)})
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/change")
		})
	}
}

// BenchmarkMembership measures the cost of one changed record to a node, and the
// memory that the directory takes, by number of servers.
func BenchmarkMembership(b *testing.B) {
	for _, servers := range []int{100, 450, 1800} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := NewFollower("n", "dc", 1)
			var records []server.Record
			for i := range servers {
				records = append(records, server.Record{Node: fmt.Sprintf("node-%04d", i), Service: fmt.Sprint("s", i%44), DataCentre: "dc", Region: "r", Address: fmt.Sprintf("10.0.0.%d:8443", i), Incarnation: 1, Sequence: 1})
			}
			f.Handle(&Members{Records: records})
			records = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				f.Handle(&Members{Records: []server.Record{{Node: "node-0001", Incarnation: 2, Sequence: uint64(i)}}})
				f.Directory().Serving()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/record")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(servers), "heap-bytes/server")
		})
	}
}
