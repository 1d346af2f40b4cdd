package node

import (
	"context"
	"fmt"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/table"
)

// Timing after the platform's store was restored from an older copy.
const (
	// poolRecoveryPeriod is the time in which all nodes report the shares that they hold.
	// They learn of the era from their relays and request shares once a second.
	poolRecoveryPeriod = 10 * time.Second
	// maxRestoreDelay is the longest time until a relay writes the table again. It lets
	// relays exchange versions, and another one be first.
	maxRestoreDelay = 2 * time.Second
)

// enterEra records an era of the platform's store. In a later one than known before, what
// was written since the store's copy is lost. The node writes its claims again and reports
// its shares, and a relay tells the nodes linked to it.
func (c *control) enterEra(era uint64) {
	if era <= c.era {
		return
	}
	before := c.era
	c.era = era
	if c.hub != nil {
		c.deliver(c.hub.SetEra(era))
	}
	if before == 0 {
		return
	}
	c.n.log.Warn("the platform's store was restored from an older copy", "era", era, "before", before)
	c.eraSince = c.now()
	c.n.scheduler.recoverStored()
}

// recoverStored writes again what this node has in the platform's store: its claims, and
// through the relays its shares of limits.
func (s *scheduler) recoverStored() {
	s.claims.Restore()
	s.retryShareRequests()
}

// isRecoveringPools reports whether limit pools may lack shares that nodes hold, because
// the store was restored a short time ago.
func (c *control) isRecoveringPools() bool {
	return c.eraSince != 0 && c.now().Sub(c.eraSince) < poolRecoveryPeriod
}

// checkStoredTable handles the table head o that a relay has read from the platform, or the
// lack of one. If the store was restored since this process has started and lost the
// version in force, the table is written again.
func (n *Node) checkStoredTable(ctx context.Context, o gd.Object) {
	var stored uint64
	if !o.Revision.IsZero() {
		head, err := table.DecodeHead(o.Value)
		if err != nil {
			return // loadHead logs the error
		}
		stored = head.Version
	}
	n.post(func(c *control) {
		c.enterEra(o.Revision.Era)
		if c.eraSince == 0 || c.restoring || c.hub == nil || stored >= c.hub.Version() {
			return
		}
		c.restoring = true
		delay := maxRestoreDelay/2 + time.Duration(c.rnd.Int64N(int64(maxRestoreDelay/2)))
		c.n.log.Warn("the platform lost the table in force", "stored", stored, "in-force", c.hub.Version(), "era", c.era, "restore-in", delay.String())
		n.tasks.Go(func() { n.restoreTable(ctx, o.Revision.Era, delay) })
	})
}

// restoreTable writes the table in force again after a delay, unless another relay has
// done so.
func (n *Node) restoreTable(ctx context.Context, era uint64, delay time.Duration) {
	sleep(ctx, delay)
	if ctx.Err() == nil {
		if _, err := n.Restore(ctx, fmt.Sprintf("era-%d-%s", era, n.name), n.name); err != nil && !gd.Conflict.Is(err) {
			n.log.Warn("cannot write the table again", "error", err)
		}
	}
	n.post(func(c *control) { c.restoring = false })
}
