package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// script runs the commands of testdata/escrow on escrows and a ledger.
type script struct {
	table        *standin.Table
	ledger       *Ledger
	tables       map[string]*standin.FaultyTable
	escrows      map[string]*Escrow
	reservations map[string]Reservation
}

// StoreBackups stores backup copies at the escrow named "keeper".
func (script *script) StoreBackups(ctx context.Context, owner string, settlements []Settlement) error {
	return script.escrow("keeper").StoreBackups(ctx, owner, settlements)
}

func (script *script) escrow(name string) *Escrow {
	if _, ok := script.escrows[name]; !ok {
		script.tables[name] = standin.NewFaultyTable(standin.FaultyTableConfig{Table: script.table})
		script.escrows[name] = newEscrow(EscrowConfig{Table: script.tables[name], Incarnation: name, Policy: PolicyHorizon, BackupStore: script})
	}
	return script.escrows[name]
}

func (script *script) change(kind configuration.Kind, name, operation string, body any) string {
	encoded, _ := json.Marshal(body)
	change := configuration.Change{Kind: kind, Name: name, OperationID: operation, Body: encoded}
	writes, err := script.ledger.ChangeWrites(context.Background(), change)
	if err == nil {
		err = script.table.Transact(context.Background(), platform.Transaction{Writes: writes})
	}
	return describeOutcome(err)
}

func describeOutcome(err error) string {
	if err == nil {
		return "ok\n"
	}
	return fmt.Sprintf("%s: %s\nremedy: %s\noutcome: %s\n", fault.KindOf(err), fault.MessageOf(err), fault.RemedyOf(err), fault.OutcomeOf(err))
}

func (script *script) settle(t *testing.T, data *datadriven.TestData, name, request string, bill, waste int64) string {
	t.Helper()
	reservation := script.reservations[name+"/"+request]
	settlement := Settlement{Reservation: reservation}
	if data.HasArg("bill") {
		settlement.Lines = append(settlement.Lines, Line{Kind: LineBill, Tokens: bill})
	}
	if data.HasArg("waste") {
		settlement.Lines = append(settlement.Lines, Line{Kind: LineWaste, Tokens: waste})
	}
	for i := range settlement.Lines {
		data.MaybeScanArgs(t, "attempt", &settlement.Lines[i].Attempt)
	}
	script.escrow(name).Settle(settlement)
	return "ok\n"
}

func (script *script) statement(profile string) string {
	statement, err := script.ledger.Statement(context.Background(), profile)
	if err != nil {
		return describeOutcome(err)
	}
	encoded, _ := json.MarshalIndent(statement, "", " ")
	return string(encoded) + "\n"
}

func (script *script) lines(profile string) string {
	var output strings.Builder
	cursor := ""
	for {
		lines, next, err := script.ledger.Lines(context.Background(), profile, cursor, 2)
		if err != nil {
			return describeOutcome(err)
		}
		for _, line := range lines {
			fmt.Fprintf(&output, "%s %q %s %d\n", line.Kind, line.RequestID, line.Router, line.Tokens)
		}
		if next == "" {
			return output.String()
		}
		cursor = next
	}
}

func (script *script) run(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	ctx := context.Background()
	var router, lender, profile, request, operation string
	var tokens, bill, waste int64
	for name, target := range map[string]any{
		"router": &router, "from": &lender, "profile": &profile, "request": &request, "operation": &operation,
		"tokens": &tokens, "bill": &bill, "waste": &waste,
	} {
		data.MaybeScanArgs(t, name, target)
	}
	switch data.Cmd {
	case "publish":
		body := configuration.Profile{Name: profile, LimitTokens: tokens, Retired: data.HasArg("retired")}
		return script.change(configuration.KindProfile, profile, "", body)
	case "limit":
		return script.change(configuration.KindLimit, profile, operation, configuration.Limit{AddTokens: tokens})
	case "reserve":
		reservation, err := script.escrow(router).Reserve(ctx, Demand{Profile: profile, RequestID: request, Tokens: tokens})
		script.reservations[router+"/"+request] = reservation
		return describeOutcome(err)
	case "settle":
		return script.settle(t, data, router, request, bill, waste)
	case "lend":
		loan, err := script.escrow(router).Lend(ctx, LoanRequest{TransferID: operation, Profile: profile, Tokens: tokens})
		return fmt.Sprintf("%d tokens, %s", loan.Tokens, describeOutcome(err))
	case "borrow":
		loan, err := script.escrow(lender).Lend(ctx, LoanRequest{TransferID: operation, Profile: profile, Tokens: tokens})
		script.escrow(router).account(profile).creditLoan(loan)
		return fmt.Sprintf("%d tokens, %s", loan.Tokens, describeOutcome(err))
	case "down", "up":
		script.escrow(router)
		script.tables[router].SetFaults(standin.TableFaults{Down: data.Cmd == "down"})
	case "tick":
		(&node{escrow: script.escrow(router)}).tick()
	case "sleep":
		time.Sleep(time.Minute)
	case "expire":
		return describeOutcome(script.ledger.CloseIncarnation(ctx, router))
	case "close":
		script.escrow(router).drain()
		return describeOutcome(script.escrow(router).shutDown(ctx))
	case "statement":
		return script.statement(profile)
	case "lines":
		return script.lines(profile)
	default:
		t.Fatalf("unknown command %q", data.Cmd)
	}
	return "ok\n"
}

func TestScripts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := &script{
			table:        standin.NewTable(),
			tables:       make(map[string]*standin.FaultyTable),
			escrows:      make(map[string]*Escrow),
			reservations: make(map[string]Reservation),
		}
		script.ledger = NewLedger(LedgerConfig{Table: script.table})
		datadriven.RunTest(t, "testdata/escrow", script.run)
	})
}
