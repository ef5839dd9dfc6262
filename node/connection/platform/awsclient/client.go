package awsclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/radishstand/radishstand/node/connection/platform"
)

// Client implements platform.Table and platform.Objects. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	table     *dynamodb.Client
	objects   *s3.Client
}

var (
	_ platform.Table   = (*Client)(nil)
	_ platform.Objects = (*Client)(nil)
)

// New returns a client of a valid configuration. It opens no connection yet.
func New(config Config) (*Client, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	transport := newTransport(config)
	client := &sender{http.Client{
		Transport: transport,
		// A redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	keys := credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, config.SessionToken)
	return &Client{
		config:    config,
		transport: transport,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: optional(config.TableEndpoint), Region: config.Region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: optional(config.ObjectsEndpoint), Region: config.Region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{}, UsePathStyle: true,
			// The signature or TLS protects the body; trailing checksums are unknown to many stores.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func newTransport(config Config) *http.Transport {
	dialer := net.Dialer{Timeout: milliseconds(config.DialTimeoutMs)}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: milliseconds(config.DialTimeoutMs),
		MaxIdleConnsPerHost: config.Connections,
		MaxConnsPerHost:     config.Connections,
		IdleConnTimeout:     milliseconds(config.IdleMs),
		DisableCompression:  true,
	}
}

// sender hands bodies to net/http as plain memory. The SDK's own body reports io.EOF from WriteTo once the SDK has closed
// it, which it does when the answer arrives. A transport that then still looks for the end of the body takes this for a
// failed write and closes the connection while the answer is being read. Plain memory also goes out in one write with
// the headers.
type sender struct {
	client http.Client
}

// Do implements the HTTPClient interface of the SDK.
func (s *sender) Do(request *http.Request) (*http.Response, error) {
	if request.Body != nil && request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		// Lets the transport use another connection when one turns out closed before a byte was written.
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return s.client.Do(request)
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// watchSending returns a context whose request sets sent as soon as it gets a connection. Until then the request had no
// effect; from then on bytes of it may have reached the store.
func watchSending(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}
