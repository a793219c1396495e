package budget_test

import (
	"context"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

func Example() {
	ctx := context.Background()
	table := standin.NewTable()
	ledger := budget.NewLedger(budget.LedgerConfig{Table: table})
	writes, _ := ledger.ChangeWrites(ctx, configuration.Change{
		Kind: configuration.KindProfile, Name: "advice", Body: []byte(`{"limit_tokens": 1000}`),
	})
	_ = table.Transact(ctx, platform.Transaction{Writes: writes})

	escrow := budget.NewEscrow(budget.EscrowConfig{Table: table, Incarnation: "router-1"})
	reservation, _ := escrow.Reserve(ctx, budget.Demand{Profile: "advice", RequestID: "r1", Tokens: 400})
	receipt := escrow.Settle(budget.Settlement{
		Reservation: reservation,
		Lines:       []budget.Line{{Kind: budget.LineBill, Tokens: 150}},
	})
	<-receipt.Durable()
	_ = escrow.Close(ctx)

	statement, _ := ledger.Statement(ctx, "advice")
	fmt.Println(statement.FreeTokens, statement.BillTokens)
	// Output: 850 150
}
