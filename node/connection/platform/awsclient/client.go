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

// New returns a client with the given configuration, or an error if that is invalid. It opens no connections.
func New(config Config) (*Client, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	transport := newTransport(config)
	client := &bufferedSender{http.Client{
		Transport: transport,
		// Following a redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	keys := credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, config.SessionToken)
	return &Client{
		config:    config,
		transport: transport,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: nilIfEmpty(config.TableEndpoint), Region: config.Region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: nilIfEmpty(config.ObjectsEndpoint), Region: config.Region, Credentials: keys,
			HTTPClient: client, Retryer: aws.NopRetryer{}, UsePathStyle: true,
			// The signature or TLS protects the body, and many stores do not support trailing checksums.
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

// bufferedSender passes request bodies to net/http as byte slices. The SDK's own body type returns io.EOF from WriteTo once
// the SDK has closed it, which happens when the answer arrives. A transport that has not yet seen the end of the body treats
// this as a failed write and closes the connection while the answer is being read. A byte slice is also sent in one write
// together with the headers.
type bufferedSender struct {
	client http.Client
}

// Do implements the HTTPClient interface of the SDK.
func (s *bufferedSender) Do(request *http.Request) (*http.Response, error) {
	if request.Body != nil && request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, err
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		// GetBody lets the transport switch to another connection if one was closed before any byte was written.
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return s.client.Do(request)
}

// nilIfEmpty returns a pointer to s, or nil if s is empty.
func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// withSendTrace returns a context for one request and a flag that is set when the request gets a connection. Before that,
// the request has had no effect; after that, some of its bytes may have reached the store.
func withSendTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}
