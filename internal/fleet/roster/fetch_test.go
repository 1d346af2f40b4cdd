package roster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
