package station

import (
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/clock"
	"github.com/geraniumdock/geraniumdock/internal/telemetry/event"
	"github.com/geraniumdock/geraniumdock/platform"
	"github.com/geraniumdock/geraniumdock/server"
)

const (
	// joinedStart is the longest time between the starts of a server and of its node if
	// both start together.
	joinedStart = 500 * time.Millisecond
	// widenInterval is the time after which one more request may be sent to a server
	// whose first response is awaited. Most requests take less.
	widenInterval = 250 * time.Millisecond
	// sentWindow is the time over which the requests sent to the server are counted.
	sentWindow = 4 * time.Second
	// A server may get up to toleratedRatio times the requests that its limit admits
	// within sentWindow, and toleratedExcess more.
	toleratedRatio  = 1.5
	toleratedExcess = 5
)

// sentTimes holds the times at which requests were sent to the server within the last
// sentWindow, in order.
type sentTimes []time.Duration

// add records that a request is sent at now.
func (t *sentTimes) add(now time.Duration) { *t = append(*t, now) }

// count returns the number of requests sent in the sentWindow before now.
func (t *sentTimes) count(now time.Duration) int {
	old := 0
	for old < len(*t) && now-(*t)[old] >= sentWindow {
		old++
	}
	*t = (*t)[old:]
	return len(*t)
}

// notices is what the server has stated in its responses.
type notices struct {
	limit       float64       // requests per second that the server accepts, if isLimited
	isLimited   bool          // the last response stated a limit
	limitedAt   time.Duration // when the server first stated a limit
	statedAt    time.Duration // when the server last stated a limit
	invalid     string        // malformed field logged last
	overLimitAt time.Duration // when ServerOverLimit was logged last
}

// recordNotices records what the server to which the request was sent states in its
// response. A response with status 421 is from another server.
func (s *Station) recordNotices(id string, sentTo platform.Announcement, sent time.Duration, res *http.Response) {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	limit, isLimited, err := platform.ServerLimit(res)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server.Instance != sentTo.Instance || s.server.Started != sentTo.Started {
		return
	}
	s.respondedAt = s.now()
	if err != nil {
		s.logInvalid(id, err)
	} else {
		s.recordLimit(sent, limit, isLimited)
	}
	s.endAwait()
	if platform.IsServerLeaving(res) {
		s.recordLeaving(id)
	}
}

// awaited is the state of a station whose server is older than this process. An earlier
// process may have known what the server's responses state, so few requests are sent
// until the first response.
type awaited struct {
	isPending bool          // no response has arrived
	firstSent time.Duration // when the first request was sent, 0 if none was
}

// slots returns the number of requests that may be at a server with the given slots:
// one, and one more after each widenInterval, until the first response.
func (a awaited) slots(now time.Duration, slots int) int {
	if !a.isPending {
		return slots
	}
	admitted := 1
	if a.firstSent > 0 {
		admitted += int((now - a.firstSent) / widenInterval)
	}
	return min(slots, admitted)
}

// isOlderThanProcess reports whether a server with the given start may have got requests
// from an earlier process of this node.
func (s *Station) isOlderThanProcess(started clock.Time) bool {
	return started.Before(s.startTime.Add(-joinedStart))
}

// applySlots sets the number of requests that may be at the server. The caller holds
// s.mu.
func (s *Station) applySlots() { s.queue.SetSlots(s.awaited.slots(s.now(), s.server.Slots)) }

// endAwait lets the server get as many requests as it has slots. The caller holds s.mu.
func (s *Station) endAwait() {
	if s.awaited.isPending {
		s.awaited.isPending = false
		s.applySlots()
		s.startQueued()
	}
}

// widen admits the requests that are due while the first response is awaited. The caller
// holds s.mu.
func (s *Station) widen() {
	if s.awaited.isPending && s.awaited.firstSent > 0 {
		s.applySlots()
		s.startQueued()
	}
}

// recordLeaving begins the server's drain after a response which states that the server
// is about to stop. The caller holds s.mu.
func (s *Station) recordLeaving(id string) {
	if s.server.Draining {
		return
	}
	s.cfg.Log.Info(event.ServerLeaving, "id", id, "instance", s.server.Instance, "before", s.state.String())
	s.drainServer()
}

// drainServer begins the server's drain, as its announcement would. The caller holds
// s.mu.
func (s *Station) drainServer() {
	s.server.Draining = true
	if s.state == server.Up {
		s.beginDrain(server.Draining)
		s.publishRecord()
	}
}

// HandleDrain begins the server's drain if r describes that server. An earlier process
// of this node or another node has learned that it drains.
func (s *Station) HandleDrain(r server.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server.Instance != r.Instance || s.server.Started != r.Started || s.server.Draining {
		return
	}
	s.cfg.Log.Info(event.ServerLeaving, "instance", r.Instance, "before", s.state.String())
	s.drainServer()
}

// recordSent records that a request is being sent. The caller holds s.mu.
func (s *Station) recordSent() {
	now := s.now()
	if s.awaited.firstSent == 0 {
		s.awaited.firstSent = now
	}
	s.sent.add(now)
	s.checkLimit(now)
}

// recordLimit applies the limit stated in the response to a request that was sent at the
// given time, or lifts the limit if the response states none. A response to a request sent
// before the server last stated a limit may be older than that, so it raises none. The
// caller holds s.mu.
func (s *Station) recordLimit(sent time.Duration, limit float64, isLimited bool) {
	n, now := &s.notices, s.now()
	isRaise := n.isLimited && (!isLimited || limit > n.limit)
	if isRaise && sent <= n.statedAt {
		return
	}
	if isLimited {
		n.statedAt = now
	}
	if isLimited == n.isLimited && limit == n.limit {
		return
	}
	s.cfg.Log.Info(event.ServerLimited, "instance", s.server.Instance, "limited", isLimited, "per-second", limit,
		"before", n.limit, "sent", s.sent.count(now))
	if !n.isLimited {
		n.limitedAt = now
	}
	n.limit, n.isLimited = limit, isLimited
	if isLimited {
		s.queue.SetLimit(now, limit)
	} else {
		s.queue.RemoveLimit()
	}
	s.startQueued()
}

// checkLimit logs that the server got more requests in sentWindow than its limit
// tolerates. The caller holds s.mu.
func (s *Station) checkLimit(now time.Duration) {
	n := &s.notices
	sent := s.sent.count(now)
	tolerated := toleratedRatio*n.limit*sentWindow.Seconds() + toleratedExcess
	if !n.isLimited || now-n.limitedAt < sentWindow || now-n.overLimitAt < sentWindow || float64(sent) <= tolerated {
		return
	}
	n.overLimitAt = now
	s.cfg.Log.Warn(event.ServerOverLimit, "instance", s.server.Instance, "per-second", n.limit, "sent", sent,
		"limited-for", (now - n.limitedAt).String(), "up-for", (now - s.startedAt).String())
}

// logInvalid logs a malformed field of a response. The caller holds s.mu.
func (s *Station) logInvalid(id string, err error) {
	if text := gd.Message(err); text != s.notices.invalid {
		s.notices.invalid = text
		s.cfg.Log.Warn(event.ResponseInvalid, "id", id, "instance", s.server.Instance, "error", text)
	}
}

// Limit returns the requests per second that the server accepts, 0 if it has stated
// no limit.
func (s *Station) Limit() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.limit
}

// Sent returns the number of requests sent to the server in the last sentWindow.
func (s *Station) Sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent.count(s.now())
}
