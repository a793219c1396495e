package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/goccy/go-json"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const scriptTimeout = 100 * time.Millisecond

// TestPlatformScripts runs testdata/platform against the stand-in over HTTP.
func TestPlatformScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/platform", func(t *testing.T, path string) {
		t.Helper()
		script := &platformScript{}
		script.start(t, 0)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			t.Helper()
			return script.run(t, data)
		})
	})
}

type platformScript struct {
	service *standin.Platform
}

func (platformScript *platformScript) start(t *testing.T, writesPerSecond int) {
	t.Helper()
	service, err := standin.NewPlatform(standin.PlatformConfig{WritesPerSecond: writesPerSecond})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, service.Close()) })
	platformScript.service = service
}

func (platformScript *platformScript) client(t *testing.T, name string) *platform.Client {
	t.Helper()
	client := platform.Dial(platform.ClientConfig{Address: platformScript.service.Address(), Timeout: scriptTimeout, Name: name})
	t.Cleanup(client.Close)
	return client
}

func (platformScript *platformScript) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	ctx := context.Background()
	name := ""
	data.MaybeScanArgs(t, "client", &name)
	client := platformScript.client(t, name)
	switch data.Cmd {
	case "platform":
		rate := 0
		data.ScanArgs(t, "writes_per_second", &rate)
		platformScript.start(t, rate)
		return ""
	case "transact":
		return kindOf(client.Table().Transact(ctx, parseTransaction(t, data.Input)))
	case "fill":
		count, err := strconv.Atoi(data.CmdArgs[1].Key)
		require.NoError(t, err)
		return kindOf(client.Table().Transact(ctx, fill(data.CmdArgs[0].Key, count)))
	case "query":
		return runQuery(ctx, t, client, data)
	case "faults":
		return platformScript.postFaults(t, data.Input)
	case "counts":
		counts := platformScript.service.Counts()[data.CmdArgs[0].Key]
		return fmt.Sprintf("calls=%d failed=%d limited=%d lost=%d\n", counts.Calls, counts.Failed, counts.Limited, counts.Lost)
	default:
		t.Fatalf("unknown command %s", data.Cmd)
		return ""
	}
}

func kindOf(err error) string {
	if err == nil {
		return "ok\n"
	}
	return string(fault.KindOf(err)) + "\n"
}

func fill(partition string, count int) platform.Transaction {
	var transaction platform.Transaction
	for i := range count {
		key := platform.Key{Partition: partition, Sort: fmt.Sprintf("fill/%d", i)}
		transaction.Writes = append(transaction.Writes, platform.Write{Key: key})
	}
	return transaction
}

func runQuery(ctx context.Context, t *testing.T, client *platform.Client, data *datadriven.TestData) string {
	t.Helper()
	query := platform.Query{Partition: data.CmdArgs[0].Key}
	data.MaybeScanArgs(t, "prefix", &query.Prefix)
	data.MaybeScanArgs(t, "after", &query.After)
	data.MaybeScanArgs(t, "limit", &query.Limit)
	items, err := client.Table().Query(ctx, query)
	if err != nil {
		return kindOf(err)
	}
	parts := make([]string, 0, len(items))
	for _, item := range items {
		parts = append(parts, item.Key.Sort+"="+string(item.Value))
	}
	if len(parts) == 0 {
		return ""
	}
	return strings.Join(parts, " ") + "\n"
}

func (platformScript *platformScript) postFaults(t *testing.T, body string) string {
	t.Helper()
	return post(t, "http://"+platformScript.service.Address()+"/admin/faults", body)
}

func post(t *testing.T, url, body string) string {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Sprintf("status %d\n", response.StatusCode)
	}
	return "ok\n"
}

var scriptActions = map[string]platform.Action{"put": platform.Put, "delete": platform.Delete, "check": platform.Check}

// parseTransaction reads lines of the form: action partition sort [value] [condition].
func parseTransaction(t *testing.T, input string) platform.Transaction {
	t.Helper()
	var transaction platform.Transaction
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		action, ok := scriptActions[fields[0]]
		require.True(t, ok, line)
		write := platform.Write{Key: platform.Key{Partition: fields[1], Sort: fields[2]}, Action: action}
		for _, field := range fields[3:] {
			version, versioned := strings.CutPrefix(field, "if_version=")
			switch {
			case field == "if_absent":
				write.Condition.Kind = platform.IfAbsent
			case versioned:
				number, err := strconv.ParseUint(version, 10, 64)
				require.NoError(t, err)
				write.Condition = platform.Condition{Kind: platform.IfVersion, Version: number}
			default:
				write.Value = []byte(field)
			}
		}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

// FuzzAdminFaults feeds the admin endpoint with any body; what it accepts must
// come back unchanged.
func FuzzAdminFaults(f *testing.F) {
	f.Add(`{"outage": true}`)
	f.Add(`{"lose_rate": 0.5, "lose_next": 3, "partitioned": ["a"]}`)
	f.Add(`{"delay_ms": -1}`)
	service, err := standin.NewPlatform(standin.PlatformConfig{})
	require.NoError(f, err)
	f.Cleanup(func() { assert.NoError(f, service.Close()) })
	f.Fuzz(func(t *testing.T, body string) {
		if post(t, "http://"+service.Address()+"/admin/faults", body) != "ok\n" {
			return
		}
		faults := service.Faults()
		data, err := json.Marshal(faults)
		require.NoError(t, err)
		require.Equal(t, "ok\n", post(t, "http://"+service.Address()+"/admin/faults", string(data)))
		assert.Equal(t, faults, service.Faults())
	})
}
