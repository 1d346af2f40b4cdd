package roster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	gd "github.com/geraniumdock/geraniumdock"
)

// TestSlowNodeHoldsUpTheFetchOfAVersion guards against a fetch that waits for one slow node of several.
func TestSlowNodeHoldsUpTheFetchOfAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(40, 1)
		defer f.stop()
		f.store.refuse(ignored, f.names...)
		time.Sleep(20 * time.Second) // until all calls of the store have ended
		slow, other, behind := f.names[0], f.names[1], f.rosters[f.names[2]]
		f.network.mu.Lock()
		for _, node := range append([]string{slow}, f.names[3:]...) {
			f.network.slow[addressOf(node)] = true
		}
		f.network.mu.Unlock()
		send(f.rosters[other], policyMessage(5))
		is.True(behind.Snapshot().Policy.Version < 5)
		for _, node := range []string{slow, other} {
			send(behind, Message{Node: node, Push: true, Version: 5})
		}
		time.Sleep(exchangePatience + 50*time.Millisecond)
		is.Equal(behind.Snapshot().Policy.Version, uint64(5))
	})
}

// TestNoticeOfUnknownNodeIsIgnored guards against notices that a node without a directory cannot use.
func TestNoticeOfUnknownNodeIsIgnored(t *testing.T) {
	is := is.New(t)
	sender, network, _ := stateWith(3, nodeName(2))
	sender.r.cfg.Self.Node, sender.r.cfg.Self.Address = nodeName(1), addressOf(nodeName(1))
	is.True(sender.installPolicy([]byte("2"), gd.Revision{}, "store", 0))
	runChanges(sender)
	is.True(len(network.sent) > 0) // the nodes that it has notified
	started, _, _ := stateWith(1)
	started.receive(network.sent[0])
	is.Equal(started.fetch.version, uint64(2))
}
