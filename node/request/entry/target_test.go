package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/api/settings"
	"github.com/radishstand/radishstand/node/version/current"
)

// Guards against a call that goes to the service of its decoded path, while the server gets the encoded one.
func TestServiceIsFoundByThePathThatTheServerGets(t *testing.T) {
	tree, err := settings.Parse([]byte(`{"places": {"north": {"services": {
		"deposits": {"match": {"pathPrefixes": ["/deposit"]}},
		"views": {"match": {"pathPrefixes": ["/deposit/view"]}}}}}}`))
	require.NoError(t, err)
	holder := current.New("north")
	require.True(t, holder.Offer(1, tree))
	h := New(Config{Settings: holder, Now: time.Now, MaxInProgress: 1})
	for path, service := range map[string]string{
		"/deposit/view/17":   "views",
		"/deposit/view%2F17": "deposits",
		"/deposit/%76iew/17": "deposits",
		"/deposit%2Fview/17": "",
	} {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		r.Host = "elsewhere.example"
		c, refused := h.newCall(httptest.NewRecorder(), r, false)
		assert.Equal(t, service == "", refused != nil, path)
		assert.Equal(t, service, c.service, path)
		assert.Equal(t, path, c.target.Raw)
	}
}
