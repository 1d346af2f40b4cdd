// Package requestlog finds the log lines about one request in the logs of several
// processes and sorts them by time.
package requestlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	gd "github.com/geraniumdock/geraniumdock"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// Keys that every log line has.
const (
	timeKey    = "@timestamp"
	messageKey = "@message"
	moduleKey  = "@module"
	levelKey   = "@level"
)

// Lines returns the log lines about the request with the given id, sorted by time.
// Each is formatted as time, process, event and the other fields. Text before the
// JSON of a line, such as a timestamp added by another program, is ignored, and so
// are lines that are not JSON.
func Lines(id string, logs ...io.Reader) ([]string, error) {
	type line struct{ time, text string }
	var lines []line
	for _, l := range logs {
		s := bufio.NewScanner(l)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			fields, ok := parse(s.Text())
			if ok && fields["id"] == id {
				lines = append(lines, line{fmt.Sprint(fields[timeKey]), render(fields)})
			}
		}
		if err := s.Err(); err != nil {
			return nil, gd.Invalid.Wrapf(err, "log")
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	texts := make([]string, 0, len(lines))
	for _, l := range lines {
		texts = append(texts, l.text)
	}
	return texts, nil
}

func parse(text string) (map[string]any, bool) {
	_, after, found := strings.Cut(text, "{")
	var fields map[string]any
	if !found || json.Unmarshal([]byte("{"+after), &fields) != nil {
		return nil, false
	}
	return fields, true
}

func render(fields map[string]any) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %v %v", fields[timeKey], fields[moduleKey], fields[messageKey])
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		switch key {
		case timeKey, messageKey, moduleKey, levelKey, "id":
		default:
			fmt.Fprintf(&b, " %s=%v", key, fields[key])
		}
	}
	return b.String()
}
