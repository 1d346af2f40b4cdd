package quarantine

// maxCompleted is the number of fingerprints in one generation of a Completed.
const maxCompleted = 4096

// Completed remembers the fingerprints of requests that have run to their ends, the most
// recent ones. The zero value is empty. It is not safe for concurrent use.
type Completed struct {
	recent, older map[Fingerprint]struct{}
}

// Add remembers the fingerprints of a request.
func (c *Completed) Add(fps []Fingerprint) {
	if c.recent == nil || len(c.recent) >= maxCompleted {
		c.older, c.recent = c.recent, make(map[Fingerprint]struct{})
	}
	for _, fp := range fps {
		c.recent[fp] = struct{}{}
	}
}

// Has reports whether fp is remembered.
func (c *Completed) Has(fp Fingerprint) bool {
	if _, ok := c.recent[fp]; ok {
		return true
	}
	_, ok := c.older[fp]
	return ok
}
