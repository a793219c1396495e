package configuration

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// newBenchmarkView returns a view with one service and the given numbers of
// upstreams and callers.
func newBenchmarkView(upstreams, callers int) *View {
	view := newView(newProfileCache(defaultMaxCachedProfiles))
	view.services["s"] = versionedDocument[Service]{document: Service{Name: "s", Protocol: ProtocolModel}, revision: 1}
	for i := range upstreams {
		name := fmt.Sprint("upstream-", i)
		view.upstreams[name] = versionedDocument[Upstream]{document: Upstream{Name: name, Service: fmt.Sprint("s-", i%4), Address: "10.0.0.1:80"}, revision: 1}
	}
	for i := range callers {
		name := fmt.Sprint("caller-", i)
		view.callers[name] = versionedDocument[Caller]{document: Caller{Name: name, Team: name, Weight: 1, TokenHash: fmt.Sprintf("%064x", i)}, revision: 1}
	}
	view.revision = 1
	view.rebuildIndexes(map[Kind]bool{KindService: true, KindUpstream: true, KindCaller: true})
	return view
}

// BenchmarkAdopt measures the adoption of one change at several numbers of
// upstreams and callers in the view.
func BenchmarkAdopt(b *testing.B) {
	changes := map[Kind]Change{
		KindUpstream: {Name: "upstream-7", Body: platform.EncodeRow(Upstream{Name: "upstream-7", Service: "s-1", Address: "10.0.0.2:80", Draining: true})},
		KindCaller:   {Name: "caller-7", Body: platform.EncodeRow(Caller{Name: "caller-7", Team: "t", Weight: 1, TokenHash: fmt.Sprintf("%064x", 7)})},
		KindProfile:  {Name: "p", Body: platform.EncodeRow(Profile{Name: "p", Callers: []string{"caller-7"}, Services: []string{"s"}})},
	}
	for _, kind := range []Kind{KindUpstream, KindCaller, KindProfile} {
		for _, upstreams := range []int{38, 380, 3800} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", kind, upstreams), func(b *testing.B) {
				view := newBenchmarkView(upstreams, upstreams/4)
				change := changes[kind]
				change.Kind = kind
				b.ReportAllocs()
				for range b.N {
					next, err := view.withRecords([]Record{{Revision: view.revision + 1, Change: change}})
					if err != nil {
						b.Fatal(err)
					}
					view = next
				}
			})
		}
	}
}

// BenchmarkCacheMemory reports the heap bytes per cached profile and per upstream.
func BenchmarkCacheMemory(b *testing.B) {
	heapBytes := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for range b.N {
		heapBefore := heapBytes()
		cache := newProfileCache(defaultMaxCachedProfiles)
		for i := range defaultMaxCachedProfiles {
			name := fmt.Sprint("profile-", i)
			body := platform.EncodeRow(Profile{Name: name, Callers: []string{"caller-1", "caller-2"}, Services: []string{"gasket-advice", "order-desk"}})
			entry, err := newProfileEntry(name, body, 1, 1)
			if err != nil {
				b.Fatal(err)
			}
			cache.addIfNewer(name, entry)
		}
		b.ReportMetric((heapBytes()-heapBefore)/defaultMaxCachedProfiles, "B/profile")
		runtime.KeepAlive(cache)
		heapBefore = heapBytes()
		view := newBenchmarkView(3800, 0)
		b.ReportMetric((heapBytes()-heapBefore)/3800, "B/upstream")
		runtime.KeepAlive(view)
	}
}

// BenchmarkPublish publishes profiles that reference two callers and two
// services.
func BenchmarkPublish(b *testing.B) {
	ctx := context.Background()
	table := &recordingTable{Table: standin.NewTable()}
	publisher := NewPublisher(PublisherConfig{Table: table})
	publish := func(id string, kind Kind, name string, document any) {
		_, err := publisher.Publish(ctx, Change{OperationID: id, Operator: "o", Reason: "r", Kind: kind, Name: name, Body: platform.EncodeRow(document)})
		if err != nil {
			b.Fatal(err)
		}
	}
	for _, name := range []string{"a", "b"} {
		publish("service-"+name, KindService, name, Service{Name: name, Protocol: ProtocolPlain})
		publish("caller-"+name, KindCaller, name, testCaller(name))
	}
	table.transactions = nil
	b.ResetTimer()
	for i := range b.N {
		name := fmt.Sprint("profile-", i)
		publish(name, KindProfile, name, Profile{Name: name, Callers: []string{"a", "b"}, Services: []string{"a", "b"}})
	}
	writes := 0
	for _, transaction := range table.transactions {
		writes += len(transaction.Writes)
	}
	b.ReportMetric(float64(len(table.transactions))/float64(b.N), "transactions/op")
	b.ReportMetric(float64(writes)/float64(b.N), "items_written/op")
}
