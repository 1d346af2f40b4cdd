package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/geraniumdock/geraniumdock/server"
)

// BenchmarkNext measures the choices for a request that 8 of 41 full servers refuse.
func BenchmarkNext(b *testing.B) {
	e := New("n0", "dc0", rand.New(rand.NewPCG(1, 1)))
	var serving []server.Record
	for i := range 41 {
		serving = append(serving, server.Record{Node: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i%3), Slots: 6})
		e.Reported(0, serving[i].Node, Load{Running: 6, Slots: 6, Mean: 100 * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		s := NewSearch(0, time.Second, 2*time.Second)
		for range maxProbes {
			r, _, _ := e.Next(0, "read", serving, &s)
			s.WasAsked(r.Node, true)
		}
	}
}
