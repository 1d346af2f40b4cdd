package hedge

import "time"

const buckets = 50 // per sliding window

// window counts events and a selected part of them in a sliding window. It keeps one bucket
// more than the window covers, so that the oldest bucket is not dropped while a part of it
// is still in the window.
type window struct {
	bucket   int64
	all      [buckets + 1]int
	selected [buckets + 1]int
}

// advance drops the buckets that have left the window of the given length.
func (w *window) advance(now, length time.Duration) int64 {
	bucket := int64(now / (length / buckets))
	if bucket-w.bucket > buckets {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % (buckets + 1)
		w.all[i], w.selected[i] = 0, 0
	}
	return w.bucket % (buckets + 1)
}

// counts returns the number of events that are certainly in the window, and of the selected
// ones that may be. The oldest bucket lies in the window only partly.
func (w *window) counts(now, length time.Duration) (all, selected int) {
	oldest := (w.advance(now, length) + 1) % (buckets + 1)
	for i := range w.all {
		if int64(i) != oldest {
			all += w.all[i]
		}
		selected += w.selected[i]
	}
	return all, selected
}
