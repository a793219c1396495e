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

const (
	// controlWarmUpTime is how long a new fleet runs before the measurement.
	controlWarmUpTime = 40 * time.Second
	// controlMeasureTime is the duration of the measurement.
	controlMeasureTime = 30 * time.Second
	// changeInterval is the interval between changes at 20,000 a day.
	changeInterval = 4320 * time.Millisecond
)

// countingTable counts reads, the items and bytes they return, and writes.
type countingTable struct {
	platform.Table
	reads, items, writes, readBytes atomic.Int64
}

func (table *countingTable) countRead(items []platform.Item) {
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
	table.countRead(items)
	return items, err
}

func (table *countingTable) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	items, err := table.Table.Query(ctx, query)
	table.countRead(items)
	return items, err
}

// countingConn counts the bytes read and written.
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

// controlRouter is the control plane of one router: membership, configuration and
// peer protocol, but no request traffic.
type controlRouter struct {
	server     *httptest.Server
	client     *Client
	follower   *configuration.Follower
	membership *fleet.Membership
}

func startControlRouter(index int, table platform.Table, peerBytes *atomic.Int64) *controlRouter {
	router := &controlRouter{}
	key := []byte("key")
	self := fmt.Sprintf("01KDR0000000000000%08d", index)
	router.server = httptest.NewUnstartedServer(nil)
	router.client = NewClient(ClientConfig{
		Key: key, Incarnation: self,
		Members: func() []fleet.Member { return router.membership.Members() },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, peerBytes}, err
		},
	})
	router.follower = configuration.NewFollower(configuration.FollowerConfig{Table: table, PeerReader: router.client})
	address := router.server.Listener.Addr().String()
	router.membership = fleet.NewMembership(fleet.MembershipConfig{
		Table: table, Prober: router.client, OnRevision: router.follower.Hint,
		Self: fleet.Member{Incarnation: self, CallerAddress: address, PeerAddress: address, OperatorAddress: address, Zone: fmt.Sprint("zone-", index%14), State: fleet.Live},
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// publishChanges publishes a change every changeInterval until the deadline. It
// returns the longest time until a change was confirmed by all routers or timed
// out, and how many confirmations by a router were missing.
func publishChanges(publisher *configuration.Publisher, routers []*controlRouter, deadline time.Time, run int) (time.Duration, int) {
	ctx := context.Background()
	var slowest time.Duration
	notAdopted := 0
	var targets []configuration.ConfirmTarget
	for _, router := range routers {
		targets = append(targets, configuration.ConfirmTarget{Address: router.server.Listener.Addr().String()})
	}
	for i := 0; time.Now().Before(deadline); i++ {
		started := time.Now()
		name := fmt.Sprintf("service-%d-%d", run, i)
		body, _ := json.Marshal(configuration.Service{Name: name, Protocol: configuration.ProtocolPlain})
		record, err := publisher.Publish(ctx, configuration.Change{OperationID: name, Operator: "o", Reason: "r", Kind: configuration.KindService, Name: name, Body: body})
		if err != nil {
			notAdopted += len(targets)
			continue
		}
		confirmCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		for _, adoption := range configuration.Confirm(confirmCtx, configuration.ConfirmConfig{
			Adopter: routers[0].client, Targets: targets, Records: []configuration.Record{record}, Revision: record.Revision,
		}) {
			if !adoption.Adopted {
				notAdopted++
			}
		}
		cancel()
		slowest = max(slowest, time.Since(started))
		time.Sleep(time.Until(started.Add(changeInterval)))
	}
	return slowest, notAdopted
}

// BenchmarkControl measures the control plane of a fleet over TCP, with a
// configuration change every 4.32 s. Peer bytes are those of both directions at
// both ends, without TCP and IP headers. CPU time includes the stand-in table.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{3, 30, 90, 360} {
		b.Run(fmt.Sprint("routers_", count), func(b *testing.B) {
			for run := range b.N {
				table := &countingTable{Table: standin.NewTable()}
				var peerBytes atomic.Int64
				routers := make([]*controlRouter, count)
				for i := range routers {
					routers[i] = startControlRouter(i, table, &peerBytes)
				}
				publisher := configuration.NewPublisher(configuration.PublisherConfig{Table: table.Table})
				time.Sleep(controlWarmUpTime)
				peerBytesBefore, readsBefore, itemsBefore, writesBefore, readBytesBefore, cpuBefore := peerBytes.Load(), table.reads.Load(), table.items.Load(), table.writes.Load(), table.readBytes.Load(), cpuTime()
				slowest, notAdopted := publishChanges(publisher, routers, time.Now().Add(controlMeasureTime), run)
				routerSeconds := float64(count) * controlMeasureTime.Seconds()
				b.ReportMetric(2*float64(peerBytes.Load()-peerBytesBefore)/routerSeconds, "peer_B/s/router")
				b.ReportMetric(float64(table.readBytes.Load()-readBytesBefore)/routerSeconds, "table_B/s/router")
				b.ReportMetric(float64(table.reads.Load()-readsBefore)/routerSeconds, "table_reads/s/router")
				b.ReportMetric(float64(table.items.Load()-itemsBefore)/routerSeconds, "table_items/s/router")
				b.ReportMetric(float64(table.writes.Load()-writesBefore)/routerSeconds, "table_writes/s/router")
				b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/routerSeconds, "core_%/router")
				b.ReportMetric(float64(slowest.Milliseconds()), "slowest_change_ms")
				b.ReportMetric(float64(notAdopted), "not_adopted")
				knownMembers := 0
				for _, router := range routers {
					knownMembers += len(router.membership.Members())
				}
				b.ReportMetric(float64(knownMembers)/float64(count), "members_known")
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
