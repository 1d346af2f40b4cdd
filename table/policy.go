package table

import (
	"cmp"
	"encoding/hex"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
)

// Level says how repeats of a call with the same idempotency key are found.
type DedupLevel string

// The levels of deduplication.
const (
	DedupNone     DedupLevel = "none"     // keys are not looked at
	DedupPlatform DedupLevel = "platform" // the key is claimed in the platform before the call runs
)

// Limits of the columns.
const (
	maxWeight           = 1000
	maxRateLimit        = 1_000_000
	maxConcurrencyLimit = 100_000
	maxQueueLimit       = 10_000
	maxTimeout          = time.Hour
	maxRetryAllowance   = 100
)

// Row is what the table grants a caller at a service.
type Row struct {
	Caller, Service  string
	Weight           int           // share of slot time relative to other callers, at least 1
	RateLimit        int           // calls per second over the whole fleet, 0 for none
	ConcurrencyLimit int           // calls at once over the whole fleet, 0 for none
	QueueLimit       int           // calls that wait at one server, at least 1
	Timeout          time.Duration // the longest that a call may take
	Idempotent       []string      // methods that may run more than once
	RetryAllowance   int           // retries per 100 calls
	Deduplication    DedupLevel
	Changed          uint64 // newest version that changed a cell of the row
}

// IsIdempotent reports whether calls with method may run more than once.
func (r *Row) IsIdempotent(method string) bool { return slices.Contains(r.Idempotent, method) }

// Service is a service with its routes and the rows of its callers.
type Service struct {
	Name    string
	Routes  []string // path prefixes
	Rows    map[string]*Row
	Changed uint64
}

// Policy is a checked table in the form that nodes enforce.
type Policy struct {
	Version  uint64
	Services map[string]*Service
	callers  map[string]string // token hash to caller
	routes   []route           // longest prefix first
}

type route struct {
	prefix  string
	service *Service
}

// CallerOf returns the caller whose token has the given hash.
func (p *Policy) CallerOf(tokenSHA256 string) (string, bool) {
	c, ok := p.callers[tokenSHA256]
	return c, ok
}

// Route returns the service that serves path.
func (p *Policy) Route(path string) (*Service, bool) {
	for _, r := range p.routes {
		if hasPathPrefix(path, r.prefix) {
			return r.service, true
		}
	}
	return nil, false
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// column describes a column: how its text is checked and set on a row.
type column struct {
	name, defaultValue string
	set                func(*Row, string) error
}

// rowColumns are the columns of the sheet Rows, in the order of export.
var rowColumns = []column{
	{"weight", "1", func(r *Row, s string) error { return setInt(&r.Weight, s, 1, maxWeight) }},
	{"rate-limit", "0", func(r *Row, s string) error { return setInt(&r.RateLimit, s, 0, maxRateLimit) }},
	{"concurrency-limit", "0", func(r *Row, s string) error { return setInt(&r.ConcurrencyLimit, s, 0, maxConcurrencyLimit) }},
	{"queue-limit", "64", func(r *Row, s string) error { return setInt(&r.QueueLimit, s, 1, maxQueueLimit) }},
	{"timeout", "10s", setTimeout},
	{"idempotent-methods", "GET HEAD OPTIONS", setMethods},
	{"retry-allowance", "10", func(r *Row, s string) error { return setInt(&r.RetryAllowance, s, 0, maxRetryAllowance) }},
	{"deduplication", string(DedupNone), setDeduplication},
}

const (
	routesColumn   = "routes"
	tokenColumn    = "token-sha256"
	tokenHashBytes = 32
)

// Columns returns the columns of sheet s in the order of export.
func Columns(s Sheet) []string {
	switch s {
	case Services:
		return []string{routesColumn}
	case Callers:
		return []string{tokenColumn}
	}
	var names []string
	for _, c := range rowColumns {
		names = append(names, c.name)
	}
	return names
}

func setInt(n *int, s string, low, high int) error {
	v, err := strconv.Atoi(s)
	if err != nil {
		return gd.Invalid.Errorf("%q is not a whole number", s)
	}
	if v < low || v > high {
		return gd.Invalid.Errorf("%d is not from %d to %d", v, low, high)
	}
	*n = v
	return nil
}

func setTimeout(r *Row, s string) error {
	d, err := time.ParseDuration(s)
	if err != nil {
		return gd.Invalid.Errorf("%q is not a duration such as 250ms or 10s", s)
	}
	if d < time.Millisecond || d > maxTimeout {
		return gd.Invalid.Errorf("%s is not from 1ms to %s", d, maxTimeout)
	}
	r.Timeout = d
	return nil
}

var methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)

func setMethods(r *Row, s string) error {
	methods := strings.Fields(s)
	for _, m := range methods {
		if !methodPattern.MatchString(m) {
			return gd.Invalid.Errorf("%q is not an HTTP method", m)
		}
	}
	r.Idempotent = methods
	return nil
}

func setDeduplication(r *Row, s string) error {
	switch l := DedupLevel(s); l {
	case DedupNone, DedupPlatform:
		r.Deduplication = l
		return nil
	}
	return gd.Invalid.Errorf("%q is not none or platform", s)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checkChange checks what can be seen of a change without the rest of the
// table.
func checkChange(c Change) error {
	if err := checkRowName(c.Key); err != nil {
		return err
	}
	if c.Remove {
		if c.Key.Column != "" {
			return gd.Invalid.Errorf("%s: only whole rows are removed", c.Key)
		}
		return nil
	}
	if !slices.Contains(Columns(c.Key.Sheet), c.Key.Column) {
		return gd.Invalid.Errorf("%s: no such column; columns are %s", c.Key, strings.Join(Columns(c.Key.Sheet), ", "))
	}
	return checkValue(c.Key, c.Value)
}

func checkRowName(k Key) error {
	names := []string{k.Row}
	switch k.Sheet {
	case Services, Callers:
	case Rows:
		names = strings.Split(k.Row, "/")
		if len(names) != 2 {
			return gd.Invalid.Errorf("%s: the row is not named caller/service", k)
		}
	default:
		return gd.Invalid.Errorf("sheet %q is not services, callers or rows", k.Sheet)
	}
	for _, n := range names {
		if !namePattern.MatchString(n) {
			return gd.Invalid.Errorf("%s: %q is not a name of lower-case letters, digits and dashes", k, n)
		}
	}
	return nil
}

// checkValue checks the text of one cell.
func checkValue(k Key, value string) error {
	var err error
	switch k.Sheet {
	case Services:
		_, err = parseRoutes(value)
	case Callers:
		err = checkTokenHash(value)
	case Rows:
		err = setColumn(new(Row), k.Column, value)
	}
	if err != nil {
		return gd.Invalid.Errorf("%s: %s", k, gd.Message(err))
	}
	return nil
}

func setColumn(r *Row, name, value string) error {
	for _, c := range rowColumns {
		if c.name == name {
			return c.set(r, value)
		}
	}
	return gd.Invalid.Errorf("no such column")
}

func checkTokenHash(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != tokenHashBytes || s != strings.ToLower(s) {
		return gd.Invalid.Errorf("not a SHA-256 hash in lower-case hexadecimal")
	}
	return nil
}

func parseRoutes(s string) ([]string, error) {
	routes := strings.Fields(s)
	for _, r := range routes {
		if !strings.HasPrefix(r, "/") {
			return nil, gd.Invalid.Errorf("route %q does not begin with /", r)
		}
	}
	return routes, nil
}

// Policy checks the whole table and returns it in the form that nodes
// enforce. The error names the sheet, row and column at fault.
func (t Table) Policy() (*Policy, error) {
	p := &Policy{Version: t.version, Services: map[string]*Service{}, callers: map[string]string{}}
	for _, name := range t.RowNames(Services) {
		if err := p.addService(t, name); err != nil {
			return nil, err
		}
	}
	known, err := p.addCallers(t)
	if err != nil {
		return nil, err
	}
	for _, name := range t.RowNames(Rows) {
		if err := p.addRow(t, name, known); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(p.routes, func(a, b route) int { return len(b.prefix) - len(a.prefix) })
	return p, nil
}

func (p *Policy) addService(t Table, name string) error {
	key := Key{Services, name, routesColumn}
	if err := checkRowName(key); err != nil {
		return err
	}
	cell, _ := t.Cell(key)
	routes, err := parseRoutes(cell.Value)
	if err != nil {
		return gd.Invalid.Errorf("%s: %s", key, gd.Message(err))
	}
	s := &Service{Name: name, Routes: routes, Rows: map[string]*Row{}, Changed: cell.Changed}
	for _, prefix := range routes {
		for _, r := range p.routes {
			if r.prefix == prefix {
				return gd.Invalid.Errorf("%s: route %s is also a route of service %s", key, prefix, r.service.Name)
			}
		}
		p.routes = append(p.routes, route{prefix, s})
	}
	p.Services[name] = s
	return nil
}

// addCallers fills the token hashes and returns the names of all callers.
func (p *Policy) addCallers(t Table) (map[string]bool, error) {
	known := map[string]bool{}
	for _, name := range t.RowNames(Callers) {
		key := Key{Callers, name, tokenColumn}
		cell, _ := t.Cell(key)
		if err := checkTokenHash(cell.Value); err != nil {
			return nil, gd.Invalid.Errorf("%s: %s", key, gd.Message(err))
		}
		if other, ok := p.callers[cell.Value]; ok {
			return nil, gd.Invalid.Errorf("%s: the token is also caller %s's", key, other)
		}
		p.callers[cell.Value] = name
		known[name] = true
	}
	return known, nil
}

func (p *Policy) addRow(t Table, name string, known map[string]bool) error {
	caller, service, _ := strings.Cut(name, "/")
	key := Key{Rows, name, ""}
	s, ok := p.Services[service]
	if !ok {
		return gd.Invalid.Errorf("%s: unknown service %s", key, service)
	}
	if !known[caller] {
		return gd.Invalid.Errorf("%s: unknown caller %s", key, caller)
	}
	r, err := t.row(caller, service)
	if err != nil {
		return err
	}
	if err := r.checkLimits(); err != nil {
		return gd.Invalid.Errorf("%s: %s", Key{Rows, name, "queue-limit"}, gd.Message(err))
	}
	s.Rows[caller] = r
	return nil
}

func (t Table) row(caller, service string) (*Row, error) {
	r := &Row{Caller: caller, Service: service}
	for _, c := range rowColumns {
		key := RowKey(caller, service, c.name)
		value := c.defaultValue
		if cell, ok := t.Cell(key); ok {
			value = cell.Value
			r.Changed = max(r.Changed, cell.Changed)
		}
		if err := c.set(r, value); err != nil {
			return nil, gd.Invalid.Errorf("%s: %s", key, gd.Message(err))
		}
	}
	return r, nil
}

// checkLimits refuses limits that contradict each other.
func (r *Row) checkLimits() error {
	if r.RateLimit == 0 {
		return nil
	}
	if drainTime := time.Duration(r.QueueLimit) * time.Second / time.Duration(r.RateLimit); drainTime > r.Timeout {
		return gd.Invalid.Errorf("a queue of %d at %d calls/s takes %s, longer than the timeout of %s", r.QueueLimit, r.RateLimit, drainTime, r.Timeout)
	}
	return nil
}

// SortedRows returns all rows ordered by service and caller.
func (p *Policy) SortedRows() []*Row {
	var rows []*Row
	for _, s := range p.Services {
		for _, r := range s.Rows {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Caller, b.Caller))
	})
	return rows
}
