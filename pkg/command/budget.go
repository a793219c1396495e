package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// BudgetCommand groups the commands that read budgets.
type BudgetCommand struct {
	Show BudgetShowCommand `cmd:"" help:"Show the free, granted, settled and billed tokens of a budget."`
}

// BudgetShowCommand prints the budget of a profile.
type BudgetShowCommand struct {
	ConnectionFlags
	Profile string `arg:"" help:"Name of the profile."`
	JSON    bool   `help:"Print JSON."`
}

// Run prints the budget of the profile.
func (budgetShowCommand BudgetShowCommand) Run(environment Environment) error {
	client, err := budgetShowCommand.newClient(environment)
	if err != nil {
		return err
	}
	statement, err := client.Budget(environment.Context, budgetShowCommand.Profile)
	if err != nil {
		return err
	}
	if budgetShowCommand.JSON {
		return printJSON(environment, statement)
	}
	return printStatement(environment, statement)
}

// printStatement prints the totals of a budget, and then the tokens of each
// router that holds a grant.
func printStatement(environment Environment, statement budget.Statement) error {
	grantedTokens := int64(0)
	for _, holder := range statement.Holders {
		grantedTokens += holder.GrantedTokens
	}
	totals := table{
		columns: []string{"LIMIT", "FREE", "GRANTED", "SETTLED", "BILLED", "WASTE", "UNATTRIBUTED"},
		rows: [][]string{{
			formatTokens(statement.LimitTokens),
			formatTokens(statement.FreeTokens),
			formatTokens(grantedTokens),
			formatTokens(statement.SettledTokens),
			formatTokens(statement.BillTokens),
			formatTokens(statement.WasteTokens),
			formatTokens(statement.UnattributedTokens),
		}},
	}
	if err := totals.print(environment.Out); err != nil {
		return err
	}
	if len(statement.Holders) == 0 {
		return nil
	}
	holders := table{columns: []string{"ROUTER", "GRANTED", "SETTLED"}}
	for _, holder := range statement.Holders {
		holders.rows = append(holders.rows, []string{
			holder.Incarnation,
			formatTokens(holder.GrantedTokens),
			formatTokens(holder.SettledTokens),
		})
	}
	fmt.Fprintln(environment.Out)
	return holders.print(environment.Out)
}

// BillCommand groups the commands that read the ledger of a profile.
type BillCommand struct {
	List BillListCommand `cmd:"" help:"List the ledger lines of a profile."`
	Show BillShowCommand `cmd:"" help:"Show the ledger lines of one request."`
}

// BillListCommand prints one page of ledger lines.
type BillListCommand struct {
	ListFlags
	Profile string `arg:"" help:"Name of the profile."`
}

var ledgerColumns = []string{"AT", "KIND", "REQUEST", "CALLER", "TEAM", "SERVICE", "PROMPT", "COMPLETION", "CHARGED", "ESTIMATED"}

func ledgerRow(line budget.Line) []string {
	return []string{
		line.At.Format(timeLayout),
		string(line.Kind),
		line.RequestID,
		line.Caller,
		line.Team,
		line.Service,
		formatTokens(line.PromptTokens),
		formatTokens(line.CompletionTokens),
		formatTokens(line.Tokens),
		fmt.Sprint(line.Estimated),
	}
}

// Run prints one page of ledger lines.
func (billListCommand BillListCommand) Run(environment Environment) error {
	client, err := billListCommand.newClient(environment)
	if err != nil {
		return err
	}
	lines, nextAfter, err := client.Bills(environment.Context, billListCommand.Profile, billListCommand.page())
	if err != nil {
		return err
	}
	return printList(environment, billListCommand.JSON, listOutput[budget.Line]{Entries: lines, Next: nextAfter}, ledgerColumns, ledgerRow)
}

// BillShowCommand prints the ledger lines of one request.
type BillShowCommand struct {
	ConnectionFlags
	Profile   string `arg:"" help:"Name of the profile."`
	RequestID string `arg:"" help:"ID of the request."`
	JSON      bool   `help:"Print JSON."`
}

// Run prints the ledger lines of the request. Its error is fault.NotFound when
// there are none.
func (billShowCommand BillShowCommand) Run(environment Environment) error {
	client, err := billShowCommand.newClient(environment)
	if err != nil {
		return err
	}
	lines, err := billShowCommand.findLines(environment, client)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: fmt.Sprintf("no line of profile %q is for request %q", billShowCommand.Profile, billShowCommand.RequestID),
			Remedy:  "check both names; a bill is in the ledger about a second after the answer",
		})
	}
	return printList(environment, billShowCommand.JSON, listOutput[budget.Line]{Entries: lines}, ledgerColumns, ledgerRow)
}

// findLines reads the whole ledger page by page and returns the lines of the
// request.
func (billShowCommand BillShowCommand) findLines(environment Environment, client *operator.Client) ([]budget.Line, error) {
	var matches []budget.Line
	page := operator.Page{Limit: searchPageSize}
	for {
		lines, nextAfter, err := client.Bills(environment.Context, billShowCommand.Profile, page)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if line.RequestID == billShowCommand.RequestID {
				matches = append(matches, line)
			}
		}
		if nextAfter == "" {
			return matches, nil
		}
		page.After = nextAfter
	}
}

// searchPageSize is the number of ledger lines in each page that findLines reads.
const searchPageSize = 1000

// timeLayout is RFC 3339 with milliseconds; the printed times are in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"
