package routing

import (
	"crypto/sha256"
	"fmt"
)

// Team is a group of callers that share keys, a quota and a priority.
type Team struct {
	Name string
	// Rank is the priority of the team's calls, which precedes that of the route; 0 is the highest. It is used only if HasRank is set.
	Rank    int
	HasRank bool
	Quota   Quota
}

// Quota limits the calls of a team over all nodes together. The zero value does not limit them.
type Quota struct {
	// PerSecond is the rate in calls per second.
	PerSecond float64
	// Burst is the number of calls that are admitted at once after a pause.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// TeamKeys is a team with the keys that identify its callers.
type TeamKeys struct {
	Team
	Keys []string
}

// keyHash is the SHA-256 of a key. A version holds no keys in clear, so that a dump of it shows none.
type keyHash [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// teams holds the teams of a version by the hashes of their keys and by name.
type teams struct {
	byKey  map[keyHash]*Team
	byName map[string]*Team
}

func newTeams(configured []TeamKeys) (teams, error) {
	t := teams{byKey: map[keyHash]*Team{}, byName: map[string]*Team{}}
	for i := range configured {
		team := &configured[i].Team
		if team.Name == "" || t.byName[team.Name] != nil {
			return teams{}, fmt.Errorf("team %d: name %q is empty or not unique", i, team.Name)
		}
		t.byName[team.Name] = team
		for _, key := range configured[i].Keys {
			hash := hashKey(key)
			if other := t.byKey[hash]; key == "" || other != nil {
				return teams{}, fmt.Errorf("team %q: a key is empty or not unique", team.Name)
			}
			t.byKey[hash] = team
		}
	}
	return t, nil
}

// HasTeams reports whether callers need a key of a team on routes that are not public.
func (v *Version) HasTeams() bool { return len(v.teams.byName) > 0 }

// TeamOf returns the team that holds a key, or nil.
func (v *Version) TeamOf(key string) *Team {
	if key == "" {
		return nil
	}
	return v.teams.byKey[hashKey(key)]
}

// TeamNamed returns the team with a name, or nil.
func (v *Version) TeamNamed(name string) *Team { return v.teams.byName[name] }

// Teams iterates over all teams in no particular order.
func (v *Version) Teams(yield func(*Team) bool) {
	for _, team := range v.teams.byName {
		if !yield(team) {
			return
		}
	}
}
