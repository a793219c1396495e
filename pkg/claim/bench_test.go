package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/claim"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// tableLatency is the duration of one transaction in the benchmark.
const tableLatency = 3 * time.Millisecond

// countingTable counts transactions and delays each by tableLatency.
type countingTable struct {
	*standin.Table
	transactions atomic.Int64
}

func (table *countingTable) Transact(ctx context.Context, transaction platform.Transaction) error {
	table.transactions.Add(1)
	time.Sleep(tableLatency)
	return table.Table.Transact(ctx, transaction)
}

// BenchmarkClaims measures the number of transactions per claimed request,
// depending on the number of concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			table := &countingTable{Table: standin.NewTable()}
			registry := claim.NewRegistry(claim.RegistryConfig{Table: table, Incarnation: "a"})
			defer func() { _ = registry.Close(context.Background()) }()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var workers sync.WaitGroup
			for range callers {
				workers.Go(func() {
					for remaining.Add(-1) >= 0 {
						claimAndFinish(b, registry)
					}
				})
			}
			workers.Wait()
			b.ReportMetric(float64(table.transactions.Load())/float64(b.N), "transactions/op")
		})
	}
}

func claimAndFinish(b *testing.B, registry *claim.Registry) {
	b.Helper()
	request := claim.Request{Scope: "bench", RequestID: claim.NewRequestID(), Deadline: time.Now().Add(time.Minute)}
	if decision, err := registry.Claim(b.Context(), request); err != nil || decision.State != claim.Owned {
		b.Error(decision, err)
		return
	}
	if err := registry.Finish(b.Context(), request, claim.Result{Status: 200}); err != nil {
		b.Error(err)
	}
}
