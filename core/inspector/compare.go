package inspector

import (
	"fmt"
	"sort"
	"strings"

	"rhubarbtrack.example/core/matcher"
)

// Difference is a field that differs between two versions. Before or After is "" where the entry does not exist or has no value.
type Difference struct {
	Place  string
	Field  string
	Before string
	After  string
}

// entries holds the fields of each entry by its place. The field "" says that the entry exists.
type entries struct {
	fields map[string]map[string]string
	order  []string
}

func (e *entries) set(place, field, value string) {
	if e.fields[place] == nil {
		e.fields[place] = map[string]string{}
		e.order = append(e.order, place)
	}
	e.fields[place][field] = value
}

// Compare returns how the second version differs from the first one, as an operator reads it: entries by name, whatever their
// order in the file. Of keys it only says how many were added and removed.
func Compare(before, after Document) []Difference {
	old, changed := list(before), list(after)
	var differences []Difference
	seen := map[string]bool{}
	for _, place := range append(append([]string{}, changed.order...), old.order...) {
		if seen[place] {
			continue
		}
		seen[place] = true
		differences = append(differences, compareFields(place, old.fields[place], changed.fields[place])...)
	}
	return append(differences, compareKeys(before, after)...)
}

func compareFields(place string, old, changed map[string]string) []Difference {
	switch {
	case old == nil:
		return []Difference{{place, "entry", "", describe(changed)}}
	case changed == nil:
		return []Difference{{place, "entry", describe(old), ""}}
	}
	var names []string
	for name := range changed {
		names = append(names, name)
	}
	for name := range old {
		if _, ok := changed[name]; !ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var differences []Difference
	for _, name := range names {
		if old[name] != changed[name] {
			differences = append(differences, Difference{place, name, old[name], changed[name]})
		}
	}
	return differences
}

// describe returns the fields of an entry in one line.
func describe(fields map[string]string) string {
	var parts []string
	for name, value := range fields {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func list(d Document) *entries {
	e := &entries{fields: map[string]map[string]string{}}
	e.set("version", "number", fmt.Sprint(d.Version))
	for _, s := range d.Services {
		place := servicePlace(s.Name)
		e.set(place, "health-path", s.HealthPath)
		e.set(place, "max-connections", fmt.Sprint(s.MaxConnections))
		e.set(place, "cold-time", s.ColdTime.String())
		e.set(place, "cold-rate", fmt.Sprint(s.ColdRate))
		e.set(place, "keyed", fmt.Sprint(s.Keyed))
	}
	e.set("limits", "header-bytes", fmt.Sprint(d.Limits.HeaderBytes))
	e.set("limits", "body-bytes", fmt.Sprint(d.Limits.BodyBytes))
	e.set("limits", "header-timeout", d.Limits.HeaderTimeout.String())
	e.set("limits", "idle-timeout", d.Limits.IdleTimeout.String())
	for _, host := range d.Hosts {
		for _, r := range host.Routes {
			listRoute(e, routePlace(strings.ToLower(host.Name), r.Name), r)
		}
	}
	for _, a := range d.Accounts {
		place := accountPlace(a.Name)
		priority := ""
		if a.HasPriority {
			priority = fmt.Sprint(a.Priority)
		}
		e.set(place, "priority", priority)
		e.set(place, "rate", fmt.Sprint(a.Rate))
		e.set(place, "burst", fmt.Sprint(a.Burst))
	}
	e.set("client accounts", "required", fmt.Sprint(d.HasAccounts))
	return e
}

func listRoute(e *entries, place string, r Route) {
	e.set(place, "prefix", r.Prefix)
	e.set(place, "kind", r.Kind)
	e.set(place, "timeout", r.Timeout.String())
	e.set(place, "objective", r.Objective.String())
	e.set(place, "priority", fmt.Sprint(r.Priority))
	e.set(place, "max-attempts", fmt.Sprint(r.MaxAttempts))
	e.set(place, "public", fmt.Sprint(r.Public))
	e.set(place, "services", splitText(r.Split))
}

// splitText returns the services of a route with their shares of the requests.
func splitText(split []matcher.Share) string {
	total := 0.0
	for _, part := range split {
		total += part.Weight
	}
	var parts []string
	for _, part := range split {
		text := part.Service
		if len(split) > 1 && total > 0 {
			text += fmt.Sprintf(" %.1f%%", 100*part.Weight/total)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " + ")
}

func compareKeys(before, after Document) []Difference {
	keys := func(d Document) map[string]map[matcher.KeyDigest]bool {
		sets := map[string]map[matcher.KeyDigest]bool{}
		for _, a := range d.Accounts {
			if sets[a.Name] == nil {
				sets[a.Name] = map[matcher.KeyDigest]bool{}
			}
			for _, key := range a.Keys {
				sets[a.Name][key] = true
			}
		}
		return sets
	}
	old, changed := keys(before), keys(after)
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range changed {
		names[name] = true
	}
	var differences []Difference
	for _, name := range sortedNames(names) {
		removed, added := countMissing(old[name], changed[name]), countMissing(changed[name], old[name])
		if removed+added > 0 {
			differences = append(differences, Difference{
				accountPlace(name), "keys", fmt.Sprintf("%d, of which %d go", len(old[name]), removed), fmt.Sprintf("%d, of which %d are new", len(changed[name]), added),
			})
		}
	}
	return differences
}

func countMissing(keys, in map[matcher.KeyDigest]bool) int {
	missing := 0
	for key := range keys {
		if !in[key] {
			missing++
		}
	}
	return missing
}

func sortedNames(names map[string]bool) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
