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

// countingBackupStore counts how often each settlement was sent to a backup
// router.
type countingBackupStore map[uint64]int

// StoreBackups counts the settlements by number.
func (countingBackupStore countingBackupStore) StoreBackups(_ context.Context, _ string, settlements []Settlement) error {
	for _, settlement := range settlements {
		countingBackupStore[settlement.Number]++
	}
	return nil
}

// TestPendingSettlementBackupIsRepeated guards against settlements that are
// lost with their only backup router: a settlement that stays pending is sent
// to a backup router again, but not before backupInterval has passed.
func TestPendingSettlementBackupIsRepeated(t *testing.T) {
	table := standin.NewTable()
	body, err := json.Marshal(configuration.Profile{Name: "p", LimitTokens: 1000})
	require.NoError(t, err)
	writes, err := NewLedger(LedgerConfig{Table: table}).ChangeWrites(t.Context(), configuration.Change{Kind: configuration.KindProfile, Name: "p", Body: body})
	require.NoError(t, err)
	require.NoError(t, table.Transact(t.Context(), platform.Transaction{Writes: writes}))
	backupStore := countingBackupStore{}
	escrow := newEscrow(EscrowConfig{Table: table, Incarnation: "owner", Policy: PolicyHorizon, BackupStore: backupStore})
	reservation, err := escrow.Reserve(t.Context(), Demand{Profile: "p", RequestID: "r", Tokens: 10, Deadline: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	escrow.Settle(Settlement{Reservation: reservation, Lines: []Line{{Kind: LineBill, Tokens: 10}}})
	escrow.sendBackups(t.Context(), 0)
	escrow.sendBackups(t.Context(), 0)
	require.Equal(t, countingBackupStore{1: 1}, backupStore)
	escrow.pendingSettlements[0].backupSentAt = time.Now().Add(-backupInterval)
	escrow.sendBackups(t.Context(), 0)
	require.Equal(t, countingBackupStore{1: 2}, backupStore)
}
