package story

import (
	"fmt"
	"maps"
	"slices"
)

// missing says which lines the logs lack that may belong to the story.
func missing(records []Record, s *Story, w way) []string {
	var gaps []string
	if !s.Found() {
		gaps = append(gaps, "no line names the call: a server has answered it (answers are not logged), its line was left out, "+
			"or the log of the node that it came to is not here")
	}
	for _, server := range slices.Sorted(maps.Keys(w.servers)) {
		if !slices.ContainsFunc(records, func(r Record) bool { return r.Message == "server state" && r.Server == server }) {
			gaps = append(gaps, fmt.Sprintf("no log of the node beside server %s, or it does not go back to the server's start", server))
		}
	}
	for _, r := range records {
		if r.Omitted+r.Dropped == 0 || r.Time.Before(w.start) || r.Time.After(w.end.Add(aftermath)) || len(s.Events) == 0 {
			continue
		}
		gaps = append(gaps, fmt.Sprintf("%s left out %d lines %q before %s, and lost %d lines of any kind",
			r.Log, r.Omitted, r.Message, r.Time.Format("15:04:05.000"), r.Dropped))
	}
	return gaps
}
