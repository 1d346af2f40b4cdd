package server

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/geraniumdock/geraniumdock/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMergeIsCommutative merges the same records in two orders, with repeats, and
// compares the result with a model that keeps the newest record of each node.
func TestMergeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Node:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				Sequence:    uint64(rapid.IntRange(1, 3).Draw(t, "sequence")),
				State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			}
		}), 0, 20).Draw(t, "records")
		model := map[string]Record{}
		var first, second Directory
		for _, r := range records {
			if old, ok := model[r.Node]; !ok || r.Compare(old) > 0 {
				model[r.Node] = r
			}
			first, _ = first.WithRecords(r)
		}
		second, _ = second.WithRecords(rapid.Permutation(records).Draw(t, "crossed")...)
		second, again := second.WithRecords(records...)
		if len(again) != 0 || first.Digest() != second.Digest() || len(first.Records()) != len(model) {
			t.Fatalf("%v differs from %v", first.Records(), second.Records())
		}
		for node, want := range model {
			if got, _ := second.Record(node); got != want {
				t.Fatalf("%s: %v, model %v", node, got, want)
			}
		}
	})
}

func newRecords(n int, dataCentre string) []Record {
	var records []Record
	for i := range n {
		records = append(records, Record{Node: fmt.Sprint(dataCentre, i), DataCentre: dataCentre, Region: "r", Slots: 2})
	}
	return records
}

// warmEstimates returns estimates in which all servers were first seen at time 0.
func warmEstimates(locality Locality, records []Record) *Estimates {
	e := NewEstimates(locality)
	for _, r := range records {
		e.estimateFor(0, r.Node)
	}
	return e
}

// countChoices returns how often each node is chosen in n choices.
func countChoices(e *Estimates, now time.Duration, records []Record, n int) map[string]int {
	rnd := rand.New(rand.NewPCG(1, 2))
	count := map[string]int{}
	for range n {
		c, ok := e.Choose(now, records, nil, rnd)
		if ok {
			count[c.Server.Node]++
		}
	}
	return count
}

// warmedUp is a time at which servers first seen at time 0 get their full traffic.
const warmedUp = time.Hour

func TestChoiceNeverEjectsAll(t *testing.T) {
	is := is.New(t)
	records := newRecords(3, "dc")
	e := warmEstimates(Locality{"dc", "r"}, records)
	for range 100 {
		for _, r := range records {
			e.Failed(warmedUp, r.Node)
		}
	}
	total := 0
	for _, n := range countChoices(e, warmedUp, records, 30) {
		total += n
	}
	is.Equal(total, 30)
}

func TestChoice(t *testing.T) {
	local, remote := newRecords(3, "dc"), newRecords(3, "other")
	both := append(append([]Record{}, local...), remote...)
	for name, c := range map[string]struct {
		prepare func(*Estimates, []Record)
		records []Record
		check   func(map[string]int) bool
	}{
		"own data centre is preferred": {func(*Estimates, []Record) {}, both, func(n map[string]int) bool { return n["other0"]+n["other1"]+n["other2"] == 0 }},
		"another data centre if the own is busy": {func(e *Estimates, _ []Record) {
			for _, r := range local {
				for range 8 {
					e.Sent(warmedUp, r.Node)
				}
			}
		}, both, func(n map[string]int) bool { return n["other0"] > 0 }},
		"failing server is avoided":  {func(e *Estimates, _ []Record) { e.Failed(warmedUp, "dc0") }, local, func(n map[string]int) bool { return n["dc0"] == 0 }},
		"penalty decays":             {func(e *Estimates, _ []Record) { e.Failed(warmedUp-time.Minute, "dc0") }, local, func(n map[string]int) bool { return n["dc0"] > 100 }},
		"busy server is avoided":     {func(e *Estimates, _ []Record) { e.Reported(warmedUp, "dc0", Load{Queued: 20, Running: 2}) }, local, func(n map[string]int) bool { return n["dc0"] == 0 }},
		"load report decays":         {func(e *Estimates, _ []Record) { e.Reported(warmedUp-time.Minute, "dc0", Load{Queued: 20}) }, local, func(n map[string]int) bool { return n["dc0"] > 100 }},
		"unhealthy report is a hint": {func(_ *Estimates, r []Record) { r[0].Unhealthy = true; r[1].Unhealthy = true; r[2].Unhealthy = true }, newRecords(3, "dc"), func(n map[string]int) bool { return len(n) == 3 }},
		"new server gets less traffic": {func(e *Estimates, _ []Record) { e.estimateFor(0, "dc0").firstSeen = warmedUp }, local, func(n map[string]int) bool {
			return n["dc0"] > 0 && n["dc0"] < n["dc1"]/2
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := warmEstimates(Locality{"dc", "r"}, both)
			c.prepare(e, c.records)
			if n := countChoices(e, warmedUp, c.records, 1000); !c.check(n) {
				t.Fatal(n)
			}
		})
	}
}

func TestTriedServersAreLeftOut(t *testing.T) {
	is := is.New(t)
	records := newRecords(2, "dc")
	e := warmEstimates(Locality{"dc", "r"}, records)
	rnd := rand.New(rand.NewPCG(1, 2))
	c, ok := e.Choose(warmedUp, records, []string{"dc0"}, rnd)
	is.True(ok)
	is.Equal(c.Server.Node, "dc1")
	_, ok = e.Choose(warmedUp, records, []string{"dc0", "dc1"}, rnd)
	is.True(!ok)
}

func ExampleEstimates() {
	e := NewEstimates(Locality{DataCentre: "ist-a", Region: "tr-west"})
	servers := []Record{{Node: "tags-1", DataCentre: "ist-a", Slots: 6}, {Node: "tags-2", DataCentre: "ist-a", Slots: 6}}
	e.Failed(0, "tags-1")
	c, _ := e.Choose(0, servers, nil, rand.New(rand.NewPCG(1, 1)))
	fmt.Println(c.Server.Node)
	// Output: tags-2
}

// TestDifferingRecordsSynchronizeDirectories checks that two directories are equal
// after exchanging the records of the buckets in which they differ, and that equal
// directories have no such records.
func TestDifferingRecordsSynchronizeDirectories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Node: fmt.Sprint("node-", rapid.IntRange(0, 99).Draw(t, "node")), Service: "shop",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence"),
				State: State(rapid.IntRange(int(Up), int(Gone)).Draw(t, "state")),
			}
		}), 0, 60)
		var first, second Directory
		common := records.Draw(t, "common")
		first, _ = first.WithRecords(common...)
		second, _ = second.WithRecords(common...)
		first, _ = first.WithRecords(records.Draw(t, "one")...)
		second, _ = second.WithRecords(records.Draw(t, "other")...)
		toSecond, toFirst := first.Differing(second.Digests()), second.Differing(first.Digests())
		first, _ = first.WithRecords(toFirst...)
		second, _ = second.WithRecords(toSecond...)
		is.Equal(first.Records(), second.Records())
		is.Equal(len(first.Differing(second.Digests())), 0)
		is.Equal(first.Differing(nil), first.Records())
	})
}

// TestOneChangeDiffersInFewRecords changes one record of 450 and checks that at
// most twice the records of a mean bucket are exchanged.
func TestOneChangeDiffersInFewRecords(t *testing.T) {
	is := is.New(t)
	var d Directory
	for i := range 450 {
		d, _ = d.WithRecords(Record{Node: fmt.Sprint("node-", i), Service: "shop", Incarnation: 1})
	}
	next, _ := d.WithRecords(Record{Node: "node-7", Service: "shop", Incarnation: 2})
	differing := next.Differing(d.Digests())
	is.True(len(differing) >= 1)
	is.True(len(differing) <= 2*450/digestBuckets)
}

// TestRecordsCanBeChanged guards against callers that change what a directory keeps.
func TestRecordsCanBeChanged(t *testing.T) {
	is := is.New(t)
	d, _ := Directory{}.WithRecords(Record{Node: "b", Sequence: 1}, Record{Node: "a", Sequence: 1})
	list, digests := d.Records(), d.Digests()
	list[0].Node = "changed"
	digests[0]++
	is.Equal(d.Records()[0].Node, "a")
	is.Equal(len(d.Differing(d.Digests())), 0)
	is.Equal(len(Directory{}.Records()), 0)
	is.Equal(Directory{}.Digests(), make([]uint32, len(digests)))
}
