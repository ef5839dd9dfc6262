package awsclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/radishstand/radishstand/node/connection/platform"
)

func testConfig(url string) Config {
	config := DefaultConfig()
	config.TableEndpoint, config.ObjectsEndpoint = url, url
	config.AccessKey, config.SecretKey = "key", "secret"
	return config
}

// Guards against errors that claim more certainty about the outcome than the service's response gives, and against resending
// after a definite response.
func TestResponsesMapToErrors(t *testing.T) {
	cancelled := func(codes string) string {
		return `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","message":"m","CancellationReasons":[` + codes + `]}`
	}
	const none = `{"Code":"None"},`
	for _, c := range []struct {
		name        string
		status      int
		body        string
		write, read error
		requests    int
	}{
		{"a condition that failed", 400, cancelled(none + `{"Code":"ConditionalCheckFailed"}`), platform.ErrCondition, platform.ErrUnavailable, 1},
		{"a condition that failed beside a conflict", 400, cancelled(`{"Code":"TransactionConflict"},{"Code":"ConditionalCheckFailed"}`), platform.ErrCondition, platform.ErrUnavailable, 1},
		{"a conflict", 400, cancelled(none + `{"Code":"TransactionConflict"}`), platform.ErrConflict, platform.ErrUnavailable, 1},
		{"a throttled transaction", 400, cancelled(`{"Code":"ThrottlingError"}`), platform.ErrUnavailable, platform.ErrUnavailable, 1},
		{"an item that the service rejects", 400, cancelled(`{"Code":"ValidationError"}`), platform.ErrInvalid, platform.ErrUnavailable, 1},
		{"throttling", 400, `{"__type":"ProvisionedThroughputExceededException"}`, platform.ErrUnavailable, platform.ErrUnavailable, 1},
		{"a request that the service rejects", 400, `{"__type":"ValidationException"}`, platform.ErrInvalid, platform.ErrInvalid, 1},
		{"a missing table", 400, `{"__type":"ResourceNotFoundException"}`, platform.ErrUnavailable, platform.ErrUnavailable, 1},
		{"wrong keys", 403, `{"__type":"AccessDeniedException"}`, platform.ErrUnavailable, platform.ErrUnavailable, 1},
		{"an earlier copy in progress", 400, `{"__type":"TransactionInProgressException"}`, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 2},
		{"an internal error, after which the write may have taken effect", 500, `{"__type":"InternalServerError"}`, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 2},
		{"an error page of a proxy", 503, `<html>`, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 2},
		{"a truncated success", 200, `{"Item":{"p":`, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 2},
		{"a redirect, which is not followed", 307, ``, platform.ErrOutcomeUnknown, platform.ErrUnavailable, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client, err := New(testConfig(server.URL))
			require.NoError(t, err)
			key := platform.Key{Partition: "p", Sort: "s"}
			require.ErrorIs(t, client.Transact(context.Background(), platform.Write{Item: platform.Item{Key: key}}), c.write)
			require.Equal(t, c.requests, requests)
			_, err = client.Get(context.Background(), key)
			require.ErrorIs(t, err, c.read)
			_, err = client.Query(context.Background(), "p", "", 1)
			require.ErrorIs(t, err, c.read)
		})
	}
}

// Guards against retries of object writes by the SDK, and against objects that would exhaust the node's memory.
func TestObjectResponsesMapToErrors(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		body        string
		write, read error
	}{
		{"slow down", 503, `<Error><Code>SlowDown</Code></Error>`, platform.ErrUnavailable, platform.ErrUnavailable},
		{"internal error", 500, `<Error><Code>InternalError</Code></Error>`, platform.ErrOutcomeUnknown, platform.ErrUnavailable},
		{"missing", 404, `<Error><Code>NoSuchKey</Code></Error>`, platform.ErrUnavailable, platform.ErrNotFound},
		{"missing bucket", 404, `<Error><Code>NoSuchBucket</Code></Error>`, platform.ErrUnavailable, platform.ErrUnavailable},
		{"too large", 200, `123456789`, nil, platform.ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			config := testConfig(server.URL)
			config.MaxObjectBytes = 8
			client, err := New(config)
			require.NoError(t, err)
			require.ErrorIs(t, client.PutObject(context.Background(), "k", []byte("body")), c.write)
			_, err = client.GetObject(context.Background(), "k")
			require.ErrorIs(t, err, c.read)
			require.Equal(t, 2, requests)
		})
	}
}

// Guards against responses that fail under load: the SDK closed a request body that the transport was still reading, which
// broke the connection while the response was being read.
func TestResponsesAreCompleteUnderLoad(t *testing.T) {
	answer := []byte(`{"Items":[],"Padding":"` + strings.Repeat("x", 32<<10) + `"}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}))
	defer server.Close()
	client, err := New(testConfig(server.URL))
	require.NoError(t, err)
	var group errgroup.Group
	for range 4 * runtime.GOMAXPROCS(0) {
		group.Go(func() error {
			for range 50 {
				if _, err := client.Query(context.Background(), "p", "", 1); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

// Guards against invalid platform settings that are accepted, or rejected without their path.
func TestConfigErrorNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"no keys", func(c *Config) { c.AccessKey = "" }, "platform.accessKey: must not be empty"},
		{"endpoint without scheme", func(c *Config) { c.TableEndpoint = "localhost:1" }, `platform.tableEndpoint: "localhost:1" is not an http or https URL`},
		{"too many resends", func(c *Config) { c.Resends = 9 }, "platform.resends: 9 is out of range 0 to 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := testConfig("http://127.0.0.1:1")
			c.change(&config)
			_, err := New(config)
			require.EqualError(t, err, c.want)
		})
	}
}

// Guards against environment variables that are ignored.
func TestEnvironmentOverridesFields(t *testing.T) {
	environment := map[string]string{"AWS_ENDPOINT_URL": "http://all", "AWS_ENDPOINT_URL_S3": "http://s3", "RADISH_PLATFORM_TABLE": "t"}
	config := testConfig("http://file")
	config.FromEnvironment(func(name string) (string, bool) { v, ok := environment[name]; return v, ok })
	want := testConfig("http://all")
	want.ObjectsEndpoint, want.Table = "http://s3", "t"
	require.Equal(t, want, config)
}
