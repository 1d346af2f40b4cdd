package object

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

const (
	objectsPath  = "/objects/"
	faultsPath   = "/faults"
	countsPath   = "/counts"
	kindHeader   = "Platform-Error"
	maxListBytes = 64 << 20
)

type wireObject struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

type wireFaults struct {
	Outage       bool  `json:"outage"`
	DelayMS      int64 `json:"delay-ms"`
	LoseAnswers  int   `json:"lose-answers"`
	StallWatches bool  `json:"stall-watches"`
	RepeatWatch  bool  `json:"repeat-watch"`
}

// NewHandler serves m over HTTP: objects below /objects/, the faults to show
// at /faults (PUT) and the calls received at /counts.
func NewHandler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, func(w http.ResponseWriter, r *http.Request) { serveRead(m, w, r) })
	mux.HandleFunc("PUT "+objectsPath, func(w http.ResponseWriter, r *http.Request) { servePut(m, w, r) })
	mux.HandleFunc("DELETE "+objectsPath, func(w http.ResponseWriter, r *http.Request) {
		err := m.Delete(r.Context(), objectKey(r), queryUint(r, "if-revision"))
		reply(w, struct{}{}, err)
	})
	mux.HandleFunc("PUT "+faultsPath, func(w http.ResponseWriter, r *http.Request) { serveFaults(m, w, r) })
	mux.HandleFunc("GET "+countsPath, func(w http.ResponseWriter, _ *http.Request) { reply(w, m.Counts(), nil) })
	return mux
}

func objectKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, objectsPath) }

func queryUint(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func serveRead(m *Memory, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case q.Has("list"):
		list, err := m.List(r.Context(), objectKey(r))
		wire := make([]wireObject, len(list))
		for i, o := range list {
			wire[i] = wireObject(o)
		}
		reply(w, wire, err)
	case q.Has("watch"):
		wait := time.Duration(queryUint(r, "wait-ms")) * time.Millisecond
		o, err := m.Watch(r.Context(), objectKey(r), queryUint(r, "after"), wait)
		reply(w, wireObject(o), err)
	default:
		o, err := m.Get(r.Context(), objectKey(r))
		reply(w, wireObject(o), err)
	}
}

func servePut(m *Memory, w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, gd.MaxObjectBytes+1))
	if err != nil {
		reply(w, nil, gd.Invalid.Wrapf(err, "object body"))
		return
	}
	o, err := m.Put(r.Context(), objectKey(r), value, queryUint(r, "if-revision"))
	reply(w, wireObject{Key: o.Key, Revision: o.Revision}, err)
}

func serveFaults(m *Memory, w http.ResponseWriter, r *http.Request) {
	var f wireFaults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		reply(w, nil, gd.Invalid.Wrapf(err, "faults"))
		return
	}
	m.SetFaults(Faults{f.Outage, time.Duration(f.DelayMS) * time.Millisecond, f.LoseAnswers, f.StallWatches, f.RepeatWatch})
	reply(w, f, nil)
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		k := gd.KindOf(err)
		w.Header().Set(kindHeader, k.String())
		http.Error(w, gd.Message(err), k.Answer().Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write shows at the client as a cut answer
}

// Remote is a Store served over HTTP by NewHandler.
type Remote struct {
	base   string
	client *http.Client
}

// NewRemote returns the store at base, such as http://127.0.0.1:9000.
func NewRemote(base string) *Remote {
	return &Remote{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get returns the object at key.
func (r *Remote) Get(ctx context.Context, key string) (gd.Object, error) {
	var o wireObject
	err := r.call(ctx, http.MethodGet, key, nil, nil, &o)
	return gd.Object(o), err
}

// Put writes value if the revision of key is still ifRevision.
func (r *Remote) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (gd.Object, error) {
	var o wireObject
	err := r.call(ctx, http.MethodPut, key, url.Values{"if-revision": {formatUint(ifRevision)}}, value, &o)
	o.Value = value
	return gd.Object(o), err
}

// Delete removes the object at key if its revision is still ifRevision.
func (r *Remote) Delete(ctx context.Context, key string, ifRevision uint64) error {
	return r.call(ctx, http.MethodDelete, key, url.Values{"if-revision": {formatUint(ifRevision)}}, nil, &struct{}{})
}

// List returns the objects whose keys begin with prefix, ordered by key.
func (r *Remote) List(ctx context.Context, prefix string) ([]gd.Object, error) {
	var wire []wireObject
	err := r.call(ctx, http.MethodGet, prefix, url.Values{"list": {"1"}}, nil, &wire)
	list := make([]gd.Object, len(wire))
	for i, o := range wire {
		list[i] = gd.Object(o)
	}
	return list, err
}

// Watch waits until the revision of key is above after.
func (r *Remote) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (gd.Object, error) {
	q := url.Values{"watch": {"1"}, "after": {formatUint(after)}, "wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var o wireObject
	err := r.call(ctx, http.MethodGet, key, q, nil, &o)
	return gd.Object(o), err
}

// Close drops idle connections.
func (r *Remote) Close() { r.client.CloseIdleConnections() }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func (r *Remote) call(ctx context.Context, method, key string, q url.Values, body []byte, into any) error {
	u := r.base + objectsPath + (&url.URL{Path: key}).EscapedPath() + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return gd.Invalid.Wrapf(err, "platform address %s", r.base)
	}
	// An HTTP client would repeat a call on a connection that closed; a
	// write whose answer was lost must not be repeated.
	req.GetBody = nil
	res, err := r.client.Do(req)
	if err != nil {
		return gd.Unavailable.Wrapf(err, "platform")
	}
	defer res.Body.Close()
	return decodeReply(res, into)
}

// decodeReply reads an answer of the platform into the value into.
func decodeReply(res *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes))
	if err != nil {
		return gd.Unavailable.Wrapf(err, "answer of the platform")
	}
	if res.StatusCode != http.StatusOK {
		return replyError(res, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return gd.Unavailable.Wrapf(err, "answer of the platform")
	}
	return nil
}

func replyError(res *http.Response, data []byte) error {
	k := gd.KindNamed(res.Header.Get(kindHeader))
	if k == gd.Internal {
		k = gd.Unavailable
	}
	return k.Errorf("%s", strings.TrimSpace(string(data)))
}

type wireSnapshot struct {
	Last    uint64       `json:"last"`
	Objects []wireObject `json:"objects"`
}

// Save writes all objects of m to w.
func Save(m *Memory, w io.Writer) error {
	objects, last := m.Snapshot()
	wire := wireSnapshot{Last: last}
	for _, o := range objects {
		wire.Objects = append(wire.Objects, wireObject(o))
	}
	if err := json.NewEncoder(w).Encode(wire); err != nil {
		return gd.Unavailable.Wrapf(err, "save objects")
	}
	return nil
}

// Restore reads into m what Save wrote.
func Restore(m *Memory, r io.Reader) error {
	var wire wireSnapshot
	if err := json.NewDecoder(r).Decode(&wire); err != nil {
		return gd.Invalid.Wrapf(err, "saved objects")
	}
	var objects []gd.Object
	for _, o := range wire.Objects {
		objects = append(objects, gd.Object(o))
	}
	m.Load(objects, wire.Last)
	return nil
}
