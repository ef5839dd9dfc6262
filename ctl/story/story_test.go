package story

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/ctl/cli"
)

// logs are joined logs of three nodes, each line after a time and the name of its node.
const logs = `
 0.1 node-a {"time":"2026-06-19T23:30:00.000Z","msg":"started","node":"node-a","place":"north"}
 0.1 node-b {"time":"2026-06-19T23:30:01.000Z","msg":"server state","server":"i-1","service":"quotes","state":"ready","slots":4}
 0.1 node-b {"time":"2026-06-19T23:30:02.000Z","msg":"server statement","server":"i-1","service":"quotes","limited":true,"perSecond":2.5,"leaving":false,"source":"other"}
 not a record
 0.2 node-a {"time":"2026-06-19T23:30:20.100Z","msg":"call failed","id":"c1","service":"quotes","server":"i-1","peer":"10.0.0.2:7","status":503,"cause":"no capacity in time","attempts":0,"referrals":3,"tookMs":100}
 0.3 node-a {"time":"2026-06-19T23:30:30.000Z","msg":"attempt failed","id":"c2","service":"crews","server":"i-2","peer":"10.0.0.3:7","cause":"no answer: EOF"}
 0.3 node-a {"time":"2026-06-19T23:30:30.010Z","msg":"peer lost","peer":"10.0.0.3:7","omitted":4}
 0.3 node-a {"time":"2026-06-19T23:30:30.020Z","msg":"call failed","id":"c2","service":"crews","server":"i-2","peer":"10.0.0.3:7","status":502,"cause":"retry budget spent","attempts":1,"referrals":0,"tookMs":30}
 0.4 node-c {"time":"2026-06-19T23:30:40.000Z","msg":"call failed","id":"c3.9f","service":"quotes","server":"i-1","peer":"10.0.0.2:7","status":504,"cause":"deadline","attempts":1,"referrals":0,"tookMs":400}
 0.4 node-a {"time":"2026-06-19T23:30:40.010Z","msg":"call failed","id":"c3","service":"crews","server":"i-2","peer":"10.0.0.3:7","status":504,"cause":"deadline","attempts":1,"referrals":0,"tookMs":900}
`

// Guards against a story that lacks the reason of a failure: what the servers had stated, broken links, calls of servers, and
// lines that were left out.
func TestStoryTellsTheWayOfAFailedCall(t *testing.T) {
	cases := map[string][]string{
		"c1": {
			"-18000 node-b state server statement service=quotes server=i-1 limited=true perSecond=2.5 leaving=false",
			"+100 node-a call call failed service=quotes server=i-1 peer=10.0.0.2:7 attempts=0 redirects=3 tookMs=100 status=503 cause=\"no capacity in time\" (it has not run)",
		},
		"c2": {
			"+10 node-a call attempt failed service=crews server=i-2 peer=10.0.0.3:7 cause=\"no answer: EOF\"",
			"+20 node-a state peer lost peer=10.0.0.3:7",
			"(it may have run, its answer is lost)",
			"missing: no log of the node beside server i-2",
			"missing: node-a left out 4 lines \"peer lost\" before 23:30:30.010",
		},
		"c3":    {"+890 node-c nested call call failed id=c3.9f service=quotes server=i-1", "+900 node-a call call failed service=crews server=i-2"},
		"c3.9f": {"node-a parent call call failed id=c3", "node-c call call failed service=quotes"},
	}
	for id, want := range cases {
		t.Run(id, func(t *testing.T) {
			out := &bytes.Buffer{}
			require.NoError(t, run(&cli.Env{Stdin: strings.NewReader(logs), Stdout: out}, id, nil))
			told := strings.Join(strings.Fields(out.String()), " ")
			for _, line := range want {
				assert.Contains(t, told, line)
			}
		})
	}
}

// Guards against a call that seems to have no story although a server has answered it.
func TestCallWithoutALineIsReported(t *testing.T) {
	out := &bytes.Buffer{}
	err := run(&cli.Env{Stdin: strings.NewReader(logs), Stdout: out}, "c4", nil)
	assert.Equal(t, cli.ExitFailed, cli.ExitCode(err))
	assert.Contains(t, out.String(), "missing: no line names the call")
}

// Guards against lines that are attributed to another node when the log of each is a file of its own.
func TestNodeOfALine(t *testing.T) {
	line := `{"time":"2026-06-19T23:30:00Z","msg":"peer lost","peer":"p"}`
	started := `{"time":"2026-06-19T23:30:00Z","msg":"started","node":"node-a"}`
	cases := map[string]struct{ text, want string }{
		"the text before it":   {started + "\n" + "12 node-x " + line, "node-x"},
		"the log itself":       {started + "\n" + line, "node-a"},
		"the name of the file": {line, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			records, err := Read(strings.NewReader(c.text), "logs/b.log")
			require.NoError(t, err)
			assert.Equal(t, c.want, records[len(records)-1].Log)
		})
	}
}
