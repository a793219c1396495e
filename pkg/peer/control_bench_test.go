package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// controlTime is how long a fleet is measured after it has settled, and
// changeEvery the time between changes, which is that of 20,000 a day.
const (
	controlSettle = 40 * time.Second
	controlTime   = 30 * time.Second
	changeEvery   = 4320 * time.Millisecond
)

// countingTable counts calls and the items that they read.
type countingTable struct {
	platform.Table
	reads, items, writes, readBytes atomic.Int64
}

func (table *countingTable) count(items []platform.Item) {
	table.reads.Add(1)
	table.items.Add(int64(len(items)))
	for _, item := range items {
		table.readBytes.Add(int64(len(item.Key.Partition) + len(item.Key.Sort) + len(item.Value)))
	}
}

func (table *countingTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	table.writes.Add(1)
	return table.Table.Transact(ctx, transaction)
}

func (table *countingTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	items, err := table.Table.Get(ctx, keys...)
	table.count(items)
	return items, err
}

func (table *countingTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	items, err := table.Table.Query(ctx, query)
	table.count(items)
	return items, err
}

// countingConn counts the bytes of connections.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (conn countingConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.bytes.Add(int64(n))
	return n, err
}

func (conn countingConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	conn.bytes.Add(int64(n))
	return n, err
}

// controlRouter is the control part of one router.
type controlRouter struct {
	server     *httptest.Server
	client     *Client
	follower   *configuration.Follower
	membership *fleet.Membership
}

func startControlRouter(i int, table platform.Table, bytes *atomic.Int64) *controlRouter {
	router := &controlRouter{}
	key := []byte("key")
	self := fmt.Sprintf("01KDR0000000000000%08d", i)
	router.server = httptest.NewUnstartedServer(nil)
	router.client = NewClient(ClientConfig{
		Key: key, Self: self,
		Members: func() []fleet.Member { return router.membership.Members() },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, bytes}, err
		},
	})
	router.follower = configuration.NewFollower(configuration.FollowerConfig{Table: table, Relay: router.client})
	address := router.server.Listener.Addr().String()
	router.membership = fleet.NewMembership(fleet.MembershipConfig{
		Table: table, Prober: router.client, OnRevision: router.follower.Hint,
		Self: fleet.Member{Incarnation: self, CallerAddress: address, PeerAddress: address, OperatorAddress: address, Zone: fmt.Sprint("zone-", i%14), State: fleet.Live},
	})
	router.server.Config.Handler = NewServer(ServerConfig{Key: key, Follower: router.follower, Membership: router.membership})
	router.server.Start()
	return router
}

func (router *controlRouter) stop() {
	router.membership.Close()
	router.follower.Close()
	router.client.Close()
	router.server.Close()
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// changes publishes from one router at the rate of the target and returns the
// longest time until all routers were on a revision.
func changes(publisher *configuration.Publisher, routers []*controlRouter, until time.Time, run int) (time.Duration, int) {
	ctx := context.Background()
	var longest time.Duration
	missing := 0
	var targets []configuration.ConfirmTarget
	for _, router := range routers {
		targets = append(targets, configuration.ConfirmTarget{Address: router.server.Listener.Addr().String()})
	}
	for i := 0; time.Now().Before(until); i++ {
		began := time.Now()
		name := fmt.Sprintf("service-%d-%d", run, i)
		body, _ := json.Marshal(configuration.Service{Name: name, Protocol: configuration.ProtocolPlain})
		record, err := publisher.Publish(ctx, configuration.Change{OperationID: name, Operator: "o", Reason: "r", Kind: configuration.KindService, Name: name, Body: body})
		if err != nil {
			missing += len(targets)
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, 5*time.Second)
		for _, adoption := range configuration.Confirm(bounded, configuration.ConfirmConfig{
			Adopter: routers[0].client, Targets: targets, Records: []configuration.Record{record}, Revision: record.Revision,
		}) {
			if !adoption.Adopted {
				missing++
			}
		}
		cancel()
		longest = max(longest, time.Since(began))
		time.Sleep(time.Until(began.Add(changeEvery)))
	}
	return longest, missing
}

// BenchmarkControl runs the control parts of whole routers over TCP, with a
// change every 4.32 s. Bytes are those of both directions at both ends, without
// the headers of TCP and IP. Processor time includes the stand-in table.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{3, 30, 90, 360} {
		b.Run(fmt.Sprint("routers_", count), func(b *testing.B) {
			for run := range b.N {
				table := &countingTable{Table: standin.NewTable()}
				var bytes atomic.Int64
				routers := make([]*controlRouter, count)
				for i := range routers {
					routers[i] = startControlRouter(i, table, &bytes)
				}
				publisher := configuration.NewPublisher(configuration.PublisherConfig{Table: table.Table})
				time.Sleep(controlSettle)
				bytesBefore, reads, items, writes, readBytes, cpu := bytes.Load(), table.reads.Load(), table.items.Load(), table.writes.Load(), table.readBytes.Load(), processorTime()
				longest, missing := changes(publisher, routers, time.Now().Add(controlTime), run)
				per := float64(count) * controlTime.Seconds()
				b.ReportMetric(2*float64(bytes.Load()-bytesBefore)/per, "peer_B/s/router")
				b.ReportMetric(float64(table.readBytes.Load()-readBytes)/per, "table_B/s/router")
				b.ReportMetric(float64(table.reads.Load()-reads)/per, "table_reads/s/router")
				b.ReportMetric(float64(table.items.Load()-items)/per, "table_items/s/router")
				b.ReportMetric(float64(table.writes.Load()-writes)/per, "table_writes/s/router")
				b.ReportMetric(100*(processorTime()-cpu).Seconds()/per, "core_%/router")
				b.ReportMetric(float64(longest.Milliseconds()), "slowest_change_ms")
				b.ReportMetric(float64(missing), "not_adopted")
				known := 0
				for _, router := range routers {
					known += len(router.membership.Members())
				}
				b.ReportMetric(float64(known)/float64(count), "members_known")
				var memory runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&memory)
				b.ReportMetric(float64(memory.HeapAlloc)/float64(count)/1024, "heap_KiB/router")
				for _, router := range routers {
					router.stop()
				}
			}
		})
	}
}
