package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// store is a stand-in for the platform's metadata store. It loses nothing that it has
// acknowledged, and its answers are linearizable.
type store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	isDown  bool
	rev     uint64
	kinds   map[string]map[string]object
	history []change
	changed chan struct{} // closed at the next change of the objects or of isDown
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, rev: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// setDown makes the store reset all connections, or serve again.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wake()
}

// wake ends the waits for a change. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// ServeHTTP serves a call, or resets its connection while the store is down.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.down() {
		reset(w)
		return
	}
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	data, err := io.ReadAll(r.Body)
	var in object
	if err == nil && len(data) > 0 {
		err = json.Unmarshal(data, &in)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch q := r.URL.Query(); {
	case r.Method == http.MethodGet && q.Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r.Method, kind, name, in)
	case r.Method == http.MethodDelete:
		rev, _ := strconv.ParseUint(q.Get("rev"), 10, 64)
		s.remove(w, kind, name, rev)
	}
}

// reset closes the connection of a call with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.kinds[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	items := []object{}
	for _, n := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		items = append(items, s.kinds[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Rev > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		rev, changed, isDown := s.rev, s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			reset(w)
			return
		}
		isLast := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				isLast = true
			}
		}
		if len(events) > 0 || isLast {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, method, kind, name string, in object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, ok := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && ok, method == http.MethodPut && ok && in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		reply(w, http.StatusConflict, old)
		return
	case method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case ok && string(old.Spec) == string(in.Spec):
		reply(w, http.StatusOK, old)
		return
	}
	reply(w, http.StatusOK, s.put(kind, name, in.Spec))
}

// put stores an object without a condition. The caller holds s.mu.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	old, ok := s.kinds[kind][name]
	s.rev++
	o := object{Metadata: metadata{Name: name, Rev: s.rev, Created: s.rev, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{kind, o, false})
	s.wake()
	return o
}

func (s *store) remove(w http.ResponseWriter, kind, name string, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if rev != 0 && rev != old.Metadata.Rev {
		reply(w, http.StatusConflict, old)
		return
	}
	s.rev++
	delete(s.kinds[kind], name)
	old.Metadata.Rev = s.rev
	s.history = append(s.history, change{kind, old, true})
	s.wake()
	reply(w, http.StatusOK, old)
}

// operate writes the operator's configuration and returns when the store has it.
func (s *store) operate(spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", "main", spec)
}

// count returns the number of objects of a kind.
func (s *store) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kinds[kind])
}
