package budget_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// BenchmarkReserveSettle measures the time of one reservation and settlement in
// memory, and the memory per profile, for several numbers of profiles.
func BenchmarkReserveSettle(b *testing.B) {
	for _, profiles := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("profiles=%d", profiles), func(b *testing.B) {
			table := standin.NewTable()
			names := make([]string, profiles)
			for i := range names {
				names[i] = fmt.Sprintf("profile-%05d", i)
				openBudget(b, table, names[i], 1_000_000_000)
			}
			initialHeapBytes := heapBytes()
			escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: "a", SettleInterval: time.Hour})
			defer func() { _ = escrow.Close(context.Background()) }()
			for _, name := range names {
				reservation, err := escrow.Reserve(b.Context(), budget.Demand{Profile: name, RequestID: "first", Tokens: 1000})
				require.NoError(b, err)
				escrow.Settle(budget.Settlement{Reservation: reservation})
			}
			bytesPerProfile := float64(heapBytes()-initialHeapBytes) / float64(profiles)
			b.ResetTimer()
			for i := range b.N {
				name := names[i%profiles]
				reservation, err := escrow.Reserve(b.Context(), budget.Demand{Profile: name, RequestID: "next", Tokens: 1})
				if err != nil {
					b.Fatal(err)
				}
				escrow.Settle(budget.Settlement{Reservation: reservation})
			}
			b.ReportMetric(bytesPerProfile, "B/profile")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
