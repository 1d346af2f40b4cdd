package route

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"unicode"
)

// Differences describes what changes if next comes into force in place of p, one line for
// each entry. Keys are secrets, so only their number is reported.
func (p *Policy) Differences(next *Policy) []string {
	var list []string
	if next.Version <= p.Version {
		list = append(list, fmt.Sprintf("version: %d is not above %d, so no node would apply it", next.Version, p.Version))
	}
	list = append(list, changedFields("limits", p.Limits, next.Limits)...)
	list = append(list, differences("service", setOf(p.services), setOf(next.services))...)
	list = append(list, differences("route", routesByName(p), routesByName(next))...)
	return append(list, differences("workspace", p.workspaces, next.workspaces)...)
}

func setOf(names []string) map[string]*struct{} {
	set := make(map[string]*struct{}, len(names))
	for _, n := range names {
		set[n] = &struct{}{}
	}
	return set
}

// routesByName returns the routes by name. Names need not be unique, so those of further
// routes include their host and prefix.
func routesByName(p *Policy) map[string]*Route {
	byName := map[string]*Route{}
	for _, r := range p.Routes() {
		name := r.Name
		if _, ok := byName[name]; ok {
			name += " (" + r.Host + r.Prefix + ")"
		}
		byName[name] = r
	}
	return byName
}

// differences returns a line for each entry that only one of the maps has, or of which a
// field differs, ordered by name.
func differences[T any](kind string, before, after map[string]*T) []string {
	all := maps.Clone(before)
	if all == nil {
		all = map[string]*T{}
	}
	maps.Copy(all, after)
	var list []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b, a := before[name], after[name]
		entry := kind + " " + name
		switch {
		case b == nil:
			list = append(list, entry+": added")
		case a == nil:
			list = append(list, entry+": removed")
		default:
			list = append(list, changedFields(entry, *b, *a)...)
		}
	}
	return list
}

// changedFields returns one line with the exported fields of a struct that differ, or none.
func changedFields(entry string, before, after any) []string {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range b.NumField() {
		field := b.Type().Field(i)
		x, y := b.Field(i).Interface(), a.Field(i).Interface()
		switch {
		case reflect.DeepEqual(x, y):
		case field.Name == "Keys":
			changes = append(changes, keyChange(x.([]string), y.([]string)))
		default:
			changes = append(changes, fmt.Sprintf("%s %s to %s", kebabCase(field.Name), fieldText(b.Field(i)), fieldText(a.Field(i))))
		}
	}
	if len(changes) == 0 {
		return nil
	}
	return []string{entry + ": " + strings.Join(changes, ", ")}
}

// kebabCase returns the name of a field as it is written in reports.
func kebabCase(name string) string {
	var b strings.Builder
	for i, c := range name {
		if i > 0 && unicode.IsUpper(c) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return b.String()
}

// fieldText returns the value of a field, or of what it points to.
func fieldText(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprint(v.Interface())
}

// keyChange returns how many keys were added and removed.
func keyChange(before, after []string) string {
	count := func(keys, others []string) (n int) {
		for _, k := range keys {
			if !slices.Contains(others, k) {
				n++
			}
		}
		return n
	}
	return fmt.Sprintf("keys: %d added, %d removed", count(after, before), count(before, after))
}
