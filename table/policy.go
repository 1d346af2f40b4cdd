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

// DedupLevel specifies how repeated calls with the same idempotency key are
// detected.
type DedupLevel string

// The levels of deduplication.
const (
	DedupNone     DedupLevel = "none"     // idempotency keys are ignored
	DedupPlatform DedupLevel = "platform" // the key is claimed in the platform's store before the call runs
)

// Largest values of the columns.
const (
	maxWeight           = 1000
	maxRateLimit        = 1_000_000 // calls per second
	maxConcurrencyLimit = 100_000   // calls
	maxQueueLimit       = 10_000    // calls
	maxTimeout          = time.Hour
	maxRetryAllowance   = 100 // retries per 100 calls
)

// Row holds the limits and settings of one caller at one service.
type Row struct {
	Caller, Service  string
	Weight           int           // relative share of slot time under fair queueing, at least 1
	RateLimit        int           // calls per second over all servers, 0 for no limit
	ConcurrencyLimit int           // concurrent calls over all servers, 0 for no limit
	QueueLimit       int           // queued calls at one server, at least 1
	Timeout          time.Duration // maximum duration of a call
	Idempotent       []string      // methods whose calls may safely run more than once
	RetryAllowance   int           // retries per 100 calls
	Deduplication    DedupLevel
	ChangedVersion   uint64 // latest table version that changed a cell of the row
}

// IsIdempotent reports whether calls with method may safely run more than once.
func (r *Row) IsIdempotent(method string) bool { return slices.Contains(r.Idempotent, method) }

// Service is a service with its routes and the rows of its callers.
type Service struct {
	Name           string
	Routes         []string        // path prefixes
	Rows           map[string]*Row // by caller
	ChangedVersion uint64          // table version that last changed the routes
}

// Policy is a validated table in the form that nodes enforce.
type Policy struct {
	Version  uint64
	Services map[string]*Service // by name
	callers  map[string]string   // caller by hash of its token
	routes   []route             // sorted by descending length of the prefix
}

type route struct {
	prefix  string
	service *Service
}

// CallerOf returns the caller whose token has the given hash, in hexadecimal.
func (p *Policy) CallerOf(tokenSHA256 string) (string, bool) {
	c, ok := p.callers[tokenSHA256]
	return c, ok
}

// Route returns the service with the longest route that is a prefix of path.
func (p *Policy) Route(path string) (*Service, bool) {
	for _, r := range p.routes {
		if hasPathPrefix(path, r.prefix) {
			return r.service, true
		}
	}
	return nil, false
}

// hasPathPrefix reports whether prefix consists of whole segments of path, so
// that /s matches /s/1 but not /sx.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// column describes a column of the sheet Rows. The function set parses a cell's
// text, checks its range and stores the value in the row.
type column struct {
	name, defaultValue string
	set                func(*Row, string) error
}

// rowColumns lists the columns of the sheet Rows in export order.
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
	tokenHashBytes = 32 // SHA-256
)

// Columns returns the names of the columns of sheet s in export order.
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
		return gd.Invalid.Errorf("%d is not in the range %d to %d", v, low, high)
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
		return gd.Invalid.Errorf("%s is not in the range 1ms to %s", d, maxTimeout)
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
	return gd.Invalid.Errorf("%q is neither none nor platform", s)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checkChange checks a change by itself, without the rest of the table.
func checkChange(c Change) error {
	if err := checkRowName(c.Key); err != nil {
		return err
	}
	if c.Remove {
		if c.Key.Column != "" {
			return gd.Invalid.Errorf("%s: only whole rows can be removed", c.Key)
		}
		return nil
	}
	if !slices.Contains(Columns(c.Key.Sheet), c.Key.Column) {
		return gd.Invalid.Errorf("%s: no such column; columns are %s", c.Key, strings.Join(Columns(c.Key.Sheet), ", "))
	}
	return checkValue(c.Key, c.Value)
}

// checkRowName checks the sheet and the name of the row in k.
func checkRowName(k Key) error {
	names := []string{k.Row}
	switch k.Sheet {
	case Services, Callers:
	case Rows:
		names = strings.Split(k.Row, "/")
		if len(names) != 2 {
			return gd.Invalid.Errorf("%s: the row name does not have the form caller/service", k)
		}
	default:
		return gd.Invalid.Errorf("unknown sheet %q; sheets are services, callers and rows", k.Sheet)
	}
	for _, n := range names {
		if !namePattern.MatchString(n) {
			return gd.Invalid.Errorf("%s: invalid name %q; use up to 63 lower-case letters, digits and dashes, without a dash at either end", k, n)
		}
	}
	return nil
}

// checkValue checks the value of one cell.
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

// checkTokenHash checks that s is the SHA-256 hash of a token.
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

// Policy validates the whole table and returns it in the form that nodes
// enforce. An error names the sheet, row and column at fault.
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
	s := &Service{Name: name, Routes: routes, Rows: map[string]*Row{}, ChangedVersion: cell.ChangedVersion}
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

// addCallers adds the callers with their token hashes and returns the set of
// their names.
func (p *Policy) addCallers(t Table) (map[string]bool, error) {
	known := map[string]bool{}
	for _, name := range t.RowNames(Callers) {
		key := Key{Callers, name, tokenColumn}
		cell, _ := t.Cell(key)
		if err := checkTokenHash(cell.Value); err != nil {
			return nil, gd.Invalid.Errorf("%s: %s", key, gd.Message(err))
		}
		if other, ok := p.callers[cell.Value]; ok {
			return nil, gd.Invalid.Errorf("%s: the token hash is also that of caller %s", key, other)
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

// row returns the row of caller at service, with default values for the columns
// without a cell.
func (t Table) row(caller, service string) (*Row, error) {
	r := &Row{Caller: caller, Service: service}
	for _, c := range rowColumns {
		key := RowKey(caller, service, c.name)
		value := c.defaultValue
		if cell, ok := t.Cell(key); ok {
			value = cell.Value
			r.ChangedVersion = max(r.ChangedVersion, cell.ChangedVersion)
		}
		if err := c.set(r, value); err != nil {
			return nil, gd.Invalid.Errorf("%s: %s", key, gd.Message(err))
		}
	}
	return r, nil
}

// checkLimits rejects a rate limit at which the last call of a full queue times
// out before it is admitted.
func (r *Row) checkLimits() error {
	if r.RateLimit == 0 {
		return nil
	}
	if drainTime := time.Duration(r.QueueLimit) * time.Second / time.Duration(r.RateLimit); drainTime > r.Timeout {
		return gd.Invalid.Errorf("a full queue of %d calls at %d calls/s drains in %s, longer than the timeout of %s", r.QueueLimit, r.RateLimit, drainTime, r.Timeout)
	}
	return nil
}

// SortedRows returns all rows sorted by service and caller.
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
