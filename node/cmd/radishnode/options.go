package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"

	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
	"github.com/radishstand/radishstand/node/process/node"
)

// envPrefix is the prefix of environment variables: RADISHNODE_LISTEN_CALLERS sets listen.callers.
const envPrefix = "RADISHNODE"

// defaultMemoryLimitMB is the default soft memory limit of the Go runtime. It is below the 32 MB that a node may use.
const defaultMemoryLimitMB = 28

// defaultProcessors is the default number of threads that run Go code simultaneously. At 1,000 calls/s, two threads use a
// fifth less processor time than one for each of 10 cores, with the same tail latency. A single one increases the tail
// latency.
const defaultProcessors = 2

const maxProcessors = 64

type options struct {
	config        node.Config
	check         bool
	level         log.Level
	memoryLimitMB int
	processors    int
}

// stringList is the value of a flag that may be repeated or hold a comma-separated list.
type stringList struct{ target *[]string }

func (l stringList) String() string {
	if l.target == nil {
		return ""
	}
	return strings.Join(*l.target, ",")
}

func (l stringList) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			*l.target = append(*l.target, part)
		}
	}
	return nil
}

// parse reads flags, environment and the configuration file, in this order of precedence, and validates the result.
func parse(args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	o.config.Platform = awsclient.DefaultConfig()
	o.config.Platform.FromEnvironment(os.LookupEnv)
	fs, level := o.flags(stderr)
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.JSONParser))
	if err != nil {
		return nil, err
	}
	// Package flag stops at the first argument without a dash, as in "--tls.insecure true", and ignores the rest.
	if fs.NArg() > 0 {
		return nil, fmt.Errorf("argument %q is not a flag; a flag without a value needs =, as in --tls.insecure=false", fs.Arg(0))
	}
	if o.level, err = log.ParseLevel(*level); err != nil {
		return nil, fmt.Errorf("log.level: is %q; allowed are debug, info, warn, error", *level)
	}
	if o.processors < 1 || o.processors > maxProcessors {
		return nil, fmt.Errorf("processors: is %d; allowed are 1 to %d", o.processors, maxProcessors)
	}
	if err := o.config.Provision(); err != nil {
		return nil, err
	}
	if err := o.config.Platform.Validate(); err != nil {
		return nil, err
	}
	return o, nil
}

// boolVar, intVar and durationVar add flags whose errors state the given value and the allowed ones. The errors of package
// flag only say "parse error".
func boolVar(fs *flag.FlagSet, target *bool, name, usage string) {
	fs.BoolFunc(name, usage, func(text string) (err error) {
		if *target, err = strconv.ParseBool(text); err != nil {
			return fmt.Errorf("is %q; allowed are true and false", text)
		}
		return nil
	})
}

func intVar(fs *flag.FlagSet, target *int, name string, defaultValue int, usage string) {
	*target = defaultValue
	fs.Func(name, usage, func(text string) (err error) {
		if *target, err = strconv.Atoi(text); err != nil {
			return fmt.Errorf("is %q; allowed are whole numbers", text)
		}
		return nil
	})
}

func durationVar(fs *flag.FlagSet, target *time.Duration, name string, defaultValue time.Duration, usage string) {
	*target = defaultValue
	fs.Func(name, usage, func(text string) (err error) {
		if *target, err = time.ParseDuration(text); err != nil {
			return fmt.Errorf("is %q; allowed are durations such as 500ms or 2s", text)
		}
		return nil
	})
}

// flags returns the flag set of all options, and the value of log.level.
func (o *options) flags(stderr io.Writer) (*flag.FlagSet, *string) {
	fs := flag.NewFlagSet("radishnode", flag.ContinueOnError)
	fs.SetOutput(stderr)
	c := &o.config
	fs.String("config", "", "JSON file with any of these settings, nested at the dots")
	boolVar(fs, &o.check, "check", "validate the configuration and exit")
	level := fs.String("log.level", "info", "lowest level that is logged: debug, info, warn, error")
	intVar(fs, &o.memoryLimitMB, "memoryLimitMB", defaultMemoryLimitMB, "soft memory limit in MB")
	intVar(fs, &o.processors, "processors", defaultProcessors, "threads that run Go code at a time (default 2)")
	fs.StringVar(&c.Place, "place", "", "place of this host, as named in the settings tree")
	fs.StringVar(&c.ListenCallers, "listen.callers", "", "IP:port for callers")
	fs.StringVar(&c.ListenPeers, "listen.peers", "", "IP:port for other nodes")
	fs.StringVar(&c.ListenServer, "listen.server", "", "IP:port for the backend server beside the node; usually loopback")
	fs.StringVar(&c.ListenOperators, "listen.operators", "", "IP:port for operators")
	fs.StringVar(&c.Advertise, "advertise", "", "IP:port at which other nodes reach listen.peers; listen.peers when empty")
	fs.Var(stringList{&c.Peers}, "peers", "peer addresses to try while the table service is down")
	o.operatorFlags(fs)
	fs.StringVar(&c.TLS.CertFile, "tls.certFile", "", "PEM file with this node's certificate")
	fs.StringVar(&c.TLS.KeyFile, "tls.keyFile", "", "PEM file with this node's key")
	fs.StringVar(&c.TLS.CAFile, "tls.caFile", "", "PEM file with the CA of all nodes")
	boolVar(fs, &c.TLS.Insecure, "tls.insecure", "run without TLS between nodes")
	tlsFlags(fs, "callers", &c.CallersTLS)
	intVar(fs, &c.MaxInProgress, "maxInProgress", 0, "most calls in progress (default 4096)")
	intVar(fs, &c.MaxConnections, "maxConnections", 0, "most connections of callers (default 4096)")
	durationVar(fs, &c.StopGrace, "stopGrace", time.Second, "time between the announcement of a planned stop and the closing of the listeners")
	p := &c.Platform
	fs.StringVar(&p.TableEndpoint, "platform.tableEndpoint", p.TableEndpoint, "URL of the table service")
	fs.StringVar(&p.ObjectsEndpoint, "platform.objectsEndpoint", p.ObjectsEndpoint, "URL of the object store")
	fs.StringVar(&p.Region, "platform.region", p.Region, "region that requests are signed for")
	fs.StringVar(&p.Table, "platform.table", p.Table, "name of the table")
	fs.StringVar(&p.Bucket, "platform.bucket", p.Bucket, "name of the bucket")
	fs.StringVar(&p.AccessKey, "platform.accessKey", p.AccessKey, "access key id")
	fs.StringVar(&p.SecretKey, "platform.secretKey", p.SecretKey, "secret access key")
	return fs, level
}

// operatorFlags adds the options for the authentication of operators.
func (o *options) operatorFlags(fs *flag.FlagSet) {
	a := &o.config.Operators
	tlsFlags(fs, "operators", &a.TLS)
	fs.StringVar(&a.Token, "operators.token", "", "bearer token of operators")
	fs.StringVar(&a.TokenFile, "operators.tokenFile", "", "file with the bearer token of operators")
	fs.StringVar(&a.ClientCAFile, "operators.clients.caFile", "", "PEM file with the CA that signs operators' client certificates")
	fs.Var(stringList{&a.ClientCommonNames}, "operators.clients.commonNames", "common names that make a client certificate an operator's")
	fs.Var(stringList{&a.ClientURIs}, "operators.clients.uris", "URIs that make a client certificate an operator's")
	boolVar(fs, &a.Open, "operators.open", "let operators in without token and certificate")
}

// tlsFlags adds the TLS options of a listener.
func tlsFlags(fs *flag.FlagSet, listener string, target *node.ServerTLS) {
	fs.StringVar(&target.CertFile, listener+".tls.certFile", "", "PEM file with the certificate of listen."+listener)
	fs.StringVar(&target.KeyFile, listener+".tls.keyFile", "", "PEM file with the key of listen."+listener)
	boolVar(fs, &target.Insecure, listener+".tls.insecure", "allow plain HTTP at listen."+listener+" beyond loopback")
}
