package awsclient_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/connection/platform/awsclient"
	"github.com/radishstand/radishstand/node/platformtest"
)

// serverEnv is the environment variable that makes the test binary run as the emulated platform server.
const serverEnv = "RADISH_TEST_PLATFORM_SERVER"

// TestMain runs the test binary as the emulated platform server if serverEnv is set. The benchmarks start it as a separate
// process, so that they measure the processor time of the client alone.
func TestMain(m *testing.M) {
	if os.Getenv(serverEnv) == "" {
		os.Exit(m.Run())
	}
	server := platformtest.NewServer(platformtest.NewMemory())
	if err := server.Start("127.0.0.1:0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(server.URL())
	// Standard input is closed when the parent process ends.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

func startServer(b *testing.B) string {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverEnv+"=1")
	stdin, err := command.StdinPipe()
	require.NoError(b, err)
	stdout, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() { _ = stdin.Close(); _ = command.Wait() })
	url, err := bufio.NewReader(stdout).ReadString('\n')
	require.NoError(b, err)
	return strings.TrimSpace(url)
}

func BenchmarkClient(b *testing.B) {
	config := awsclient.DefaultConfig()
	config.TableEndpoint = startServer(b)
	config.ObjectsEndpoint = config.TableEndpoint
	config.AccessKey, config.SecretKey = "key", "secret"
	client, err := awsclient.New(config)
	require.NoError(b, err)
	ctx, key := context.Background(), platform.Key{Partition: "p", Sort: "s"}
	segment := platform.Write{Item: platform.Item{Key: key, Data: make([]byte, 1000), Numbers: map[string]int64{"seq": 1}}}
	epoch := platform.Write{
		Kind: platform.Check, Item: platform.Item{Key: platform.Key{Partition: "range"}},
		Condition: platform.Condition{Equal: map[string]int64{"epoch": 1}},
	}
	require.NoError(b, client.Transact(ctx, segment, platform.Write{Item: platform.Item{Key: epoch.Item.Key, Numbers: epoch.Condition.Equal}}))
	for _, c := range []struct {
		name string
		do   func() error
	}{
		{"Get", func() error { _, err := client.Get(ctx, key); return err }},
		{"TransactSegment", func() error { return client.Transact(ctx, segment, epoch) }},
		{"PutObject", func() error { return client.PutObject(ctx, "o", segment.Item.Data) }},
		{"GetObject", func() error { _, err := client.GetObject(ctx, "o"); return err }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			before := cpuMicroseconds(b)
			for b.Loop() {
				require.NoError(b, c.do())
			}
			b.ReportMetric((cpuMicroseconds(b)-before)/float64(b.N), "cpu-µs/op")
		})
	}
}

func cpuMicroseconds(b *testing.B) float64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return float64(usage.Utime.Sec+usage.Stime.Sec)*1e6 + float64(usage.Utime.Usec+usage.Stime.Usec)
}
