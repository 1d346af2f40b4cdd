package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strings"

	gd "github.com/geraniumdock/geraniumdock"
)

const maxRequestBytes = 8 << 20

// NewHandler returns a handler that serves the API and the variables of package
// expvar. Requests must carry token as a bearer token unless token is empty.
func NewHandler(s Service, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+editsPath, func(w http.ResponseWriter, r *http.Request) { serveEdit(s, w, r) })
	mux.HandleFunc("POST "+restorePath, func(w http.ResponseWriter, r *http.Request) { serveRestore(s, w, r) })
	mux.HandleFunc("GET "+tablePath, func(w http.ResponseWriter, r *http.Request) {
		t, err := s.Table(r.Context())
		Respond(w, newWireTable(t), err)
	})
	mux.HandleFunc("GET "+historyPath, func(w http.ResponseWriter, r *http.Request) { serveHistory(s, w, r) })
	mux.HandleFunc("GET "+statusPath, func(w http.ResponseWriter, r *http.Request) { serveStatus(s, w, r) })
	mux.HandleFunc("GET "+serversPath, func(w http.ResponseWriter, r *http.Request) { serveServers(s, w, r) })
	mux.HandleFunc("POST "+drainPath, func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		Respond(w, struct{}{}, nil)
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return RequireToken(token, mux)
}

// RequireToken returns a handler that passes on to h only requests that carry token as
// a bearer token. It returns h if token is empty.
func RequireToken(token string, h http.Handler) http.Handler {
	if token == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(received), []byte(token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "the bearer token is missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Respond writes v as JSON, or err if it is not nil.
func Respond(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		k := gd.KindOf(err)
		w.WriteHeader(k.Response().Status)
		v = wireError{k.String(), gd.Message(err)}
	}
	_ = json.NewEncoder(w).Encode(v) // if the write fails, the client sees a truncated response
}

// ReadJSON decodes a request's JSON body into dst. Unknown keys are an error.
func ReadJSON(r *http.Request, dst any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return gd.Invalid.Wrapf(err, "request body")
	}
	return nil
}

func serveEdit(s Service, w http.ResponseWriter, r *http.Request) {
	var wire wireEdit
	if err := ReadJSON(r, &wire); err != nil {
		Respond(w, nil, err)
		return
	}
	// The commit continues if the operator disconnects, so that its outcome does not
	// depend on the connection.
	receipt, err := s.Commit(context.WithoutCancel(r.Context()), wire.edit())
	Respond(w, wireReceipt{receipt.Version, receipt.Repeat}, err)
}

func serveRestore(s Service, w http.ResponseWriter, r *http.Request) {
	var wire wireEdit
	if err := ReadJSON(r, &wire); err != nil {
		Respond(w, nil, err)
		return
	}
	receipt, err := s.Restore(r.Context(), wire.ID, wire.Author)
	Respond(w, wireReceipt{receipt.Version, receipt.Repeat}, err)
}

func serveHistory(s Service, w http.ResponseWriter, r *http.Request) {
	records, err := s.History(r.Context())
	wire := make([]wireRecord, 0, len(records))
	for _, rec := range records {
		wire = append(wire, wireRecord{rec.Version, rec.Author, rec.At, rec.ID, rec.Cells})
	}
	Respond(w, wire, err)
}

func serveStatus(s Service, w http.ResponseWriter, r *http.Request) {
	status, err := s.Status(r.Context())
	q := r.URL.Query()
	Respond(w, newWireStatus(status.filter(q.Get("caller"), q.Get("service"))), err)
}

// filter returns the status with only the rows of the caller and the service. An
// empty name matches all.
func (s Status) filter(caller, service string) Status {
	var rows []RowStatus
	for _, r := range s.Rows {
		if (caller == "" || r.Caller == caller) && (service == "" || r.Service == service) {
			rows = append(rows, r)
		}
	}
	s.Rows = rows
	return s
}

func serveServers(s Service, w http.ResponseWriter, r *http.Request) {
	records, err := s.Servers(r.Context())
	wire := make([]wireServer, len(records))
	for i, rec := range records {
		wire[i] = wireServer{rec, rec.State.String()}
	}
	Respond(w, wire, err)
}
