package catalogue

import "maps"

// checkpoint is a copy of the entries of a catalogue.
type checkpoint struct {
	number uint64 // of the last change in the copy
	kinds  map[string]map[string]Entry
}

// Checkpoint copies all entries. The copy replaces an earlier one.
func (c *Catalogue) Checkpoint() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkpoint = &checkpoint{number: c.revision.Number, kinds: cloneKinds(c.kinds)}
}

// Rewind replaces the entries by the last copy, as the platform does when it restores
// its store: the changes since are lost, their revisions are given out again, and a new
// era begins. Pending watches are reset. Without a copy, Rewind does nothing.
func (c *Catalogue) Rewind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checkpoint == nil {
		return
	}
	c.kinds, c.history = cloneKinds(c.checkpoint.kinds), nil
	c.revision.Era++
	c.revision.Number, c.compactedRevision = c.checkpoint.number, c.checkpoint.number
	c.notifyWatches()
}

// Era returns the current era, which begins at 1 and rises with each Rewind.
func (c *Catalogue) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision.Era
}

func cloneKinds(kinds map[string]map[string]Entry) map[string]map[string]Entry {
	clone := make(map[string]map[string]Entry, len(kinds))
	for kind, entries := range kinds {
		clone[kind] = maps.Clone(entries)
	}
	return clone
}
