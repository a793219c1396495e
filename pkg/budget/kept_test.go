package budget

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// countingKeeper counts how often each settlement was handed over.
type countingKeeper map[uint64]int

// Keep counts the settlements.
func (keeper countingKeeper) Keep(_ context.Context, _ string, settlements []Settlement) error {
	for _, settlement := range settlements {
		keeper[settlement.Number]++
	}
	return nil
}

// TestWaitingSettlementIsHandedOverAgain checks that a settlement that still
// waits is handed to a further router, as the first one may be gone, and no more
// often than keepAgain says.
func TestWaitingSettlementIsHandedOverAgain(t *testing.T) {
	table := standin.NewTable()
	body, err := json.Marshal(configuration.Profile{Name: "p", LimitTokens: 1000})
	require.NoError(t, err)
	writes, err := NewLedger(LedgerConfig{Table: table}).ChangeWrites(t.Context(), configuration.Change{Kind: configuration.KindProfile, Name: "p", Body: body})
	require.NoError(t, err)
	require.NoError(t, table.Transact(t.Context(), platform.Transaction{Writes: writes}))
	keeper := countingKeeper{}
	escrow := newEscrow(EscrowConfig{Table: table, Incarnation: "owner", Policy: PolicyHorizon, Keeper: keeper})
	reservation, err := escrow.Reserve(t.Context(), Demand{Profile: "p", RequestID: "r", Tokens: 10, Deadline: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	escrow.Settle(Settlement{Reservation: reservation, Lines: []Line{{Kind: LineBill, Tokens: 10}}})
	escrow.handOver(t.Context(), 0)
	escrow.handOver(t.Context(), 0)
	require.Equal(t, countingKeeper{1: 1}, keeper)
	escrow.pending[0].keptAt = time.Now().Add(-keepAgain)
	escrow.handOver(t.Context(), 0)
	require.Equal(t, countingKeeper{1: 2}, keeper)
}
