package hedge

import (
	"math"
	"slices"
	"time"
)

const (
	maxSamples     = 256              // response times kept by class
	maxSampleAge   = 60 * time.Second // older response times are not evidence of the present
	minSamples     = 40
	minTailSamples = 2           // samples above the percentile that it takes to estimate it
	maxEstimateAge = time.Second // the percentiles are computed again after this time, as sorting costs some microseconds
)

// times holds the recent response times of one class.
type times struct {
	samples    [maxSamples]sample
	next       int
	estimate   percentiles
	estimateAt time.Duration
}

type sample struct {
	at, took time.Duration
	valid    bool
}

// percentiles are estimates from the samples.
type percentiles struct {
	samples      int
	median, tail time.Duration
}

func (t *times) add(now, took time.Duration) {
	t.samples[t.next] = sample{now, took, true}
	t.next = (t.next + 1) % maxSamples
}

// percentiles returns the median and the percentile p. It reports false if there are too few
// samples to estimate p.
func (t *times) percentiles(now time.Duration, p float64) (percentiles, bool) {
	needed := max(minSamples, int(math.Ceil(minTailSamples/(1-p))))
	if now-t.estimateAt < maxEstimateAge && t.estimate.samples >= needed {
		return t.estimate, true
	}
	var recent []time.Duration
	for _, s := range t.samples {
		if s.valid && now-s.at <= maxSampleAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < needed {
		return percentiles{}, false
	}
	slices.Sort(recent)
	t.estimateAt = now
	t.estimate = percentiles{len(recent), recent[len(recent)/2], recent[min(int(p*float64(len(recent))), len(recent)-1)]}
	return t.estimate, true
}
