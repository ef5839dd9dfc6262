// Package awsclient implements platform.Table over the DynamoDB API and platform.Objects over the S3 API.
package awsclient

import (
	"fmt"
	"net/url"
	"time"
)

// Config contains the endpoints, credentials and connection settings of the platform. The tags of each field state its
// meaning, default and unit.
type Config struct {
	TableEndpoint   string `json:"tableEndpoint" default:"" doc:"URL of the table service; empty selects the public endpoint of the region."`
	ObjectsEndpoint string `json:"objectsEndpoint" default:"" doc:"URL of the object store; empty selects the public endpoint of the region."`
	Region          string `json:"region" default:"us-east-1" doc:"Region that requests are signed for."`
	Table           string `json:"table" default:"radishstand" doc:"Name of the table."`
	Bucket          string `json:"bucket" default:"radishstand" doc:"Name of the bucket."`
	AccessKey       string `json:"accessKey" default:"" doc:"Access key id."`
	SecretKey       string `json:"secretKey" default:"" doc:"Secret access key."`
	SessionToken    string `json:"sessionToken" default:"" doc:"Session token of temporary keys."`
	DialTimeoutMs   int    `json:"dialTimeoutMs" default:"500" unit:"ms" doc:"Longest time to open a connection."`
	IdleMs          int    `json:"idleMs" default:"60000" unit:"ms" doc:"Idle time after which a connection is closed."`
	Connections     int    `json:"connections" default:"8" doc:"Most connections to each service."`
	MaxObjectBytes  int    `json:"maxObjectBytes" default:"4194304" unit:"bytes" doc:"Largest object that is read; a larger one counts as unavailable."`
	Resends         int    `json:"resends" default:"1" doc:"How often a transaction is sent again with the same request token after a broken connection; 0 for never."`
}

// DefaultConfig returns the defaults stated in the tags of Config.
func DefaultConfig() Config {
	return Config{
		Region: "us-east-1", Table: "radishstand", Bucket: "radishstand",
		DialTimeoutMs: 500, IdleMs: 60000, Connections: 8, MaxObjectBytes: 4 << 20, Resends: 1,
	}
}

// FromEnvironment overrides fields with the environment variables that are set: the standard AWS_* ones and
// RADISH_PLATFORM_TABLE and RADISH_PLATFORM_BUCKET. Pass os.LookupEnv.
func (c *Config) FromEnvironment(lookup func(string) (string, bool)) {
	for _, v := range []struct {
		name  string
		field *string
	}{
		{"AWS_ENDPOINT_URL", &c.TableEndpoint},
		{"AWS_ENDPOINT_URL", &c.ObjectsEndpoint},
		{"AWS_ENDPOINT_URL_DYNAMODB", &c.TableEndpoint},
		{"AWS_ENDPOINT_URL_S3", &c.ObjectsEndpoint},
		{"AWS_REGION", &c.Region},
		{"AWS_ACCESS_KEY_ID", &c.AccessKey},
		{"AWS_SECRET_ACCESS_KEY", &c.SecretKey},
		{"AWS_SESSION_TOKEN", &c.SessionToken},
		{"RADISH_PLATFORM_TABLE", &c.Table},
		{"RADISH_PLATFORM_BUCKET", &c.Bucket},
	} {
		if value, ok := lookup(v.name); ok {
			*v.field = value
		}
	}
}

// Validate returns an error that names the first invalid field and the values it allows.
func (c *Config) Validate() error {
	for _, f := range []struct{ name, value string }{
		{"region", c.Region}, {"table", c.Table}, {"bucket", c.Bucket},
		{"accessKey", c.AccessKey}, {"secretKey", c.SecretKey},
	} {
		if f.value == "" {
			return fmt.Errorf("platform.%s: must not be empty", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"tableEndpoint", c.TableEndpoint}, {"objectsEndpoint", c.ObjectsEndpoint},
	} {
		if f.value == "" {
			continue
		}
		u, err := url.Parse(f.value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("platform.%s: %q is not an http or https URL", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name            string
		value, min, max int
	}{
		{"dialTimeoutMs", c.DialTimeoutMs, 1, 60000},
		{"idleMs", c.IdleMs, 1, 3600000},
		{"connections", c.Connections, 1, 64},
		{"maxObjectBytes", c.MaxObjectBytes, 1, 16 << 20},
		{"resends", c.Resends, 0, 3},
	} {
		if f.value < f.min || f.value > f.max {
			return fmt.Errorf("platform.%s: %d is out of range %d to %d", f.name, f.value, f.min, f.max)
		}
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
