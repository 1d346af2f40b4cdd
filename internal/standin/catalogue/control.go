package catalogue

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Paths of the control interface: FaultsPath sets the injected failures, and
// CountsPath returns the numbers of calls received.
const (
	FaultsPath = "/faults"
	CountsPath = "/counts"
)

type wireFaults struct {
	Outage      string   `json:"outage"` // a key of outages; "" for none
	Callers     []string `json:"callers"`
	DelayMS     int64    `json:"delay-ms"`
	LoseWrites  float64  `json:"lose-writes"` // fraction of the writes that get no response
	LateMS      int64    `json:"late-ms"`     // delay until such a write is applied
	MuteWatches bool     `json:"mute"`        // watches receive no events
	Forget      bool     `json:"forget"`      // compacts the history once
	Checkpoint  bool     `json:"checkpoint"`  // copies all entries once
	Rewind      bool     `json:"rewind"`      // returns to the last copy once
}

var outages = map[string]Outage{"": NoOutage, "silent": Silent, "busy": Busy, "many": TooMany, "reset": Reset}

// NewControl returns a handler that controls c. A PUT of FaultsPath replaces the
// failures that c injects, and a GET of CountsPath returns the numbers of calls
// that c has received.
func NewControl(c *Catalogue) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		if err := c.readFaults(r.Body); err != nil {
			http.Error(w, gd.Message(err), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET "+CountsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.Counts()) // if the write fails, the client gets a truncated response
	})
	return mux
}

func (c *Catalogue) readFaults(r io.Reader) error {
	var f wireFaults
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return gd.Invalid.Wrapf(err, "faults")
	}
	outage, ok := outages[f.Outage]
	if !ok {
		return gd.Invalid.Errorf("key outage: %q is not silent, busy, many or reset", f.Outage)
	}
	c.SetFaults(Faults{
		Outage: outage, Callers: f.Callers, Delay: time.Duration(f.DelayMS) * time.Millisecond,
		LostWriteRatio: f.LoseWrites, LostWriteDelay: time.Duration(f.LateMS) * time.Millisecond, MuteWatches: f.MuteWatches,
	})
	if f.Forget {
		c.Compact()
	}
	if f.Checkpoint {
		c.Checkpoint()
	}
	if f.Rewind {
		c.Rewind()
	}
	return nil
}

// snapshot is the stored form of a catalogue.
type snapshot struct {
	Revision gd.Revision        `json:"revision"`
	Kinds    map[string][]Entry `json:"kinds"`
}

// Save writes all entries to w. It does not save the history.
func (c *Catalogue) Save(w io.Writer) error {
	c.mu.Lock()
	s := snapshot{Revision: c.revision, Kinds: map[string][]Entry{}}
	for kind, entries := range c.kinds {
		for _, e := range entries {
			s.Kinds[kind] = append(s.Kinds[kind], e)
		}
	}
	c.mu.Unlock()
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return gd.Unavailable.Wrapf(err, "save entries")
	}
	return nil
}

// Restore reads the entries that Save wrote. The catalogue must be empty.
func (c *Catalogue) Restore(r io.Reader) error {
	var s snapshot
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return gd.Invalid.Wrapf(err, "read saved entries")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision, c.compactedRevision = gd.Later(s.Revision, c.revision), s.Revision.Number
	for kind, entries := range s.Kinds {
		c.kinds[kind] = map[string]Entry{}
		for _, e := range entries {
			c.kinds[kind][e.Name] = e
		}
	}
	return nil
}
