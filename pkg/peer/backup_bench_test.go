package peer

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
)

// discardBackupStore accepts and discards settlements.
type discardBackupStore struct{}

func (discardBackupStore) StoreBackups(context.Context, string, []budget.Settlement) error {
	return nil
}

// BenchmarkStoreBackups measures the bytes sent in both directions per settlement,
// for different numbers of settlements per call.
func BenchmarkStoreBackups(b *testing.B) {
	for _, batchSize := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("settlements=%d", batchSize), func(b *testing.B) {
			key := []byte("key")
			server := httptest.NewServer(NewServer(ServerConfig{Key: key, BackupStore: discardBackupStore{}}))
			defer server.Close()
			var peerBytes atomic.Int64
			client := NewClient(ClientConfig{
				Key: key, Incarnation: "a",
				Members: func() []fleet.Member {
					return []fleet.Member{{Incarnation: "b", PeerAddress: server.Listener.Addr().String(), State: fleet.Live}}
				},
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return countingConn{conn, &peerBytes}, err
				},
			})
			defer client.Close()
			batch := make([]budget.Settlement, batchSize)
			for i := range batch {
				batch[i] = typicalSettlement(i)
			}
			for b.Loop() {
				if err := client.StoreBackups(b.Context(), "a", batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(peerBytes.Load())/float64(b.N*batchSize), "B/settlement")
		})
	}
}

func typicalSettlement(number int) budget.Settlement {
	id := fmt.Sprintf("web-chat:01M8ZKNJ2REC5QW01AD%07d", number)
	reservation := budget.Reservation{Profile: "home-cooks", RequestID: id, Tokens: 900}
	return budget.Settlement{Reservation: reservation, Number: uint64(number), Lines: []budget.Line{{
		Kind: budget.LineBill, Profile: "home-cooks", RequestID: id, Caller: "web-chat", Team: "kitchen",
		Service: "gasket-advice", Attempt: "5bbd8995b9e69050-c0fbfbff-f631-4f78-89d3-07d03d131e1e",
		PromptTokens: 300, CompletionTokens: 200, Tokens: 500, Router: "01M8ZKN9A4FPMZXQ34TFG606PB", At: time.Unix(1, 0),
	}}}
}
