package awsclient

import (
	"context"
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
	client := &http.Client{
		Transport: transport,
		// A redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
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
