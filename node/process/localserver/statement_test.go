package localserver

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/radishstand/radishstand/node/connection/protocol"
)

// Guards against limits that are read wrongly or that a value which is no number replaces.
func TestStatementInAnAnswer(t *testing.T) {
	cases := map[string]struct {
		limits  []string
		leaving string
		want    Statement
	}{
		"nothing is stated":                     {},
		"a decimal number":                      {limits: []string{"25.8"}, want: Statement{Limited: true, PerSecond: 25.8}},
		"zero":                                  {limits: []string{"0"}, want: Statement{Limited: true}},
		"a huge number":                         {limits: []string{"900000000000"}, want: Statement{Limited: true, PerSecond: 9e11}},
		"a number out of range":                 {limits: []string{"1" + strings.Repeat("0", 400)}, want: Statement{Unreadable: "1" + strings.Repeat("0", 400)}},
		"a negative number":                     {limits: []string{"-1"}, want: Statement{Unreadable: "-1"}},
		"no number":                             {limits: []string{"NaN"}, want: Statement{Unreadable: "NaN"}},
		"infinity":                              {limits: []string{"inf"}, want: Statement{Unreadable: "inf"}},
		"an empty value":                        {limits: []string{""}, want: Statement{Unreadable: "empty"}},
		"two numbers: the lower one counts":     {limits: []string{"9", "7"}, want: Statement{Limited: true, PerSecond: 7}},
		"leaving":                               {leaving: "1", want: Statement{Leaving: true}},
		"another value of the header for leave": {leaving: "0"},
	}
	s := New(Config{Names: protocol.Names{RateLimit: "Limit", Leaving: "Leaving"}})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for _, limit := range c.limits {
				header.Add("Limit", limit)
			}
			if c.leaving != "" {
				header.Set("Leaving", c.leaving)
			}
			assert.Equal(t, c.want, s.parseStatement(header))
		})
	}
}
