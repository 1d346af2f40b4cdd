package settings

import "fmt"

// SidecarHedging holds the operators' limits on second attempts of requests that have not
// been answered yet.
type SidecarHedging struct {
	MaxShare   float64  `yaml:"max-share"`  // second attempts per request of the node; 0 turns hedging off
	Percentile *float64 `yaml:"percentile"` // of the response times, after which a second attempt is sent
}

// Ranges and defaults of the settings in SidecarHedging. Below the lowest percentile every
// second request would be due; a node does not keep enough response times for more than the
// highest.
const (
	maxHedgeShare          = 1
	minHedgePercentile     = 50
	maxHedgePercentile     = 99
	defaultHedgePercentile = 95
)

// DelayPercentile returns the percentile of the response times, as a fraction of 1, after
// which a second attempt is sent.
func (h SidecarHedging) DelayPercentile() float64 {
	return numberOr(h.Percentile, defaultHedgePercentile) / 100
}

// findInvalid returns the key of the first setting that is out of range, and an error text.
// Both are empty if there is none.
func (h SidecarHedging) findInvalid() (key, text string) {
	if !(h.MaxShare >= 0 && h.MaxShare <= maxHedgeShare) {
		return "hedging.max-share", fmt.Sprintf("%g is not between 0 and %d", h.MaxShare, maxHedgeShare)
	}
	if p := h.Percentile; p != nil && !(*p >= minHedgePercentile && *p <= maxHedgePercentile) {
		return "hedging.percentile", fmt.Sprintf("%g is not between %d and %d", *p, minHedgePercentile, maxHedgePercentile)
	}
	return "", ""
}
