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

// TestPlatformScripts runs the scripts in testdata/platform against a Platform over
// HTTP and compares the results.
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
	server *standin.Platform
}

func (platformScript *platformScript) start(t *testing.T, writesPerSecond int) {
	t.Helper()
	server, err := standin.NewPlatform(standin.PlatformConfig{WritesPerSecond: writesPerSecond})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, server.Close()) })
	platformScript.server = server
}

func (platformScript *platformScript) client(t *testing.T, name string) *platform.Client {
	t.Helper()
	client := platform.Dial(platform.ClientConfig{Address: platformScript.server.Address(), Timeout: scriptTimeout, Name: name})
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
		writesPerSecond := 0
		data.ScanArgs(t, "writes_per_second", &writesPerSecond)
		platformScript.start(t, writesPerSecond)
		return ""
	case "transact":
		return errorKind(client.Table().Transact(ctx, parseTransaction(t, data.Input)))
	case "fill":
		count, err := strconv.Atoi(data.CmdArgs[1].Key)
		require.NoError(t, err)
		return errorKind(client.Table().Transact(ctx, fillTransaction(data.CmdArgs[0].Key, count)))
	case "query":
		return runQuery(ctx, t, client, data)
	case "faults":
		return platformScript.postFaults(t, data.Input)
	case "counts":
		counts := platformScript.server.Counts()[data.CmdArgs[0].Key]
		return fmt.Sprintf("calls=%d failed=%d limited=%d lost=%d\n", counts.Calls, counts.Failed, counts.RateLimited, counts.ResponsesLost)
	default:
		t.Fatalf("unknown command %s", data.Cmd)
		return ""
	}
}

func errorKind(err error) string {
	if err == nil {
		return "ok\n"
	}
	return string(fault.KindOf(err)) + "\n"
}

func fillTransaction(partition string, count int) platform.Transaction {
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
		return errorKind(err)
	}
	formatted := make([]string, 0, len(items))
	for _, item := range items {
		formatted = append(formatted, item.Key.Sort+"="+string(item.Value))
	}
	if len(formatted) == 0 {
		return ""
	}
	return strings.Join(formatted, " ") + "\n"
}

func (platformScript *platformScript) postFaults(t *testing.T, body string) string {
	t.Helper()
	return postJSON(t, "http://"+platformScript.server.Address()+"/admin/faults", body)
}

func postJSON(t *testing.T, url, body string) string {
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

// parseTransaction parses lines of the form: action partition sort [value] [condition].
func parseTransaction(t *testing.T, input string) platform.Transaction {
	t.Helper()
	var transaction platform.Transaction
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		action, known := scriptActions[fields[0]]
		require.True(t, known, line)
		write := platform.Write{Key: platform.Key{Partition: fields[1], Sort: fields[2]}, Action: action}
		for _, field := range fields[3:] {
			versionText, hasVersion := strings.CutPrefix(field, "if_version=")
			switch {
			case field == "if_absent":
				write.Condition.Kind = platform.IfAbsent
			case hasVersion:
				version, err := strconv.ParseUint(versionText, 10, 64)
				require.NoError(t, err)
				write.Condition = platform.Condition{Kind: platform.IfVersion, Version: version}
			default:
				write.Value = []byte(field)
			}
		}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction
}

// FuzzAdminFaults sends arbitrary bodies to the faults endpoint. Faults that it
// accepts must be unchanged after they are encoded and sent again.
func FuzzAdminFaults(f *testing.F) {
	f.Add(`{"outage": true}`)
	f.Add(`{"lose_rate": 0.5, "lose_next": 3, "partitioned": ["a"]}`)
	f.Add(`{"delay_ms": -1}`)
	server, err := standin.NewPlatform(standin.PlatformConfig{})
	require.NoError(f, err)
	f.Cleanup(func() { assert.NoError(f, server.Close()) })
	f.Fuzz(func(t *testing.T, body string) {
		if postJSON(t, "http://"+server.Address()+"/admin/faults", body) != "ok\n" {
			return
		}
		faults := server.Faults()
		data, err := json.Marshal(faults)
		require.NoError(t, err)
		require.Equal(t, "ok\n", postJSON(t, "http://"+server.Address()+"/admin/faults", string(data)))
		assert.Equal(t, faults, server.Faults())
	})
}

// TestRestoreIsObserved guards against a platform that comes back from an older copy
// without anybody noticing, as a version that was given out twice looks like none.
func TestRestoreIsObserved(t *testing.T) {
	ctx := context.Background()
	server, err := standin.NewPlatform(standin.PlatformConfig{})
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	client := platform.Dial(platform.ClientConfig{Address: server.Address()})
	defer client.Close()
	var eras []uint64
	client.OnRestore(func(previous, era uint64) { eras = append(eras, previous, era) })
	key := platform.Key{Partition: "p", Sort: "s"}
	put := func(value string, version uint64) error {
		return client.Table().Transact(ctx, platform.Transaction{Writes: []platform.Write{{
			Key: key, Value: []byte(value), Condition: platform.Condition{Kind: platform.IfVersion, Version: version},
		}}})
	}
	require.NoError(t, client.Table().Transact(ctx, platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte("first")}}}))
	require.NoError(t, client.Objects().Put(ctx, "kept", nil))
	earlier := server.Copy()
	require.NoError(t, put("undone", 1))
	require.NoError(t, client.Objects().Put(ctx, "undone", nil))
	require.NoError(t, server.SetFaults(standin.PlatformFaults{Outage: true}))
	_, err = client.Table().Get(ctx, key)
	require.Error(t, err)
	require.Empty(t, eras, "an outage is no restore")
	server.Restore(earlier)
	_, err = client.Table().Get(ctx, key)
	require.Error(t, err)
	require.Equal(t, []uint64{1, 2}, eras, "failed calls state the era, too")
	require.NoError(t, server.SetFaults(standin.PlatformFaults{}))
	names, err := client.Objects().List(ctx, "", "", 0)
	require.NoError(t, err)
	require.Equal(t, []string{"kept"}, names)
	require.NoError(t, put("another", 1))
	require.NoError(t, put("by chance", 2), "the version of the undone value was given out again")
	require.Len(t, eras, 2)
}
