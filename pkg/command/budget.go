package command

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// BudgetCommand holds the commands about budgets.
type BudgetCommand struct {
	Show BudgetShowCommand `cmd:"" help:"Show where the tokens of a budget are."`
}

// BudgetShowCommand shows a budget.
type BudgetShowCommand struct {
	Connection
	Profile string `arg:"" help:"Name of the profile."`
	JSON    bool   `help:"Print JSON."`
}

// Run runs the command.
func (budgetShowCommand BudgetShowCommand) Run(environment Environment) error {
	client, err := budgetShowCommand.client(environment)
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

// printStatement prints a budget. The sums of each table add up.
func printStatement(environment Environment, statement budget.Statement) error {
	granted := int64(0)
	for _, holder := range statement.Holders {
		granted += holder.GrantedTokens
	}
	sums := table{
		columns: []string{"LIMIT", "FREE", "GRANTED", "SETTLED", "BILLED", "WASTE", "UNATTRIBUTED"},
		rows: [][]string{{
			formatTokens(statement.LimitTokens),
			formatTokens(statement.FreeTokens),
			formatTokens(granted),
			formatTokens(statement.SettledTokens),
			formatTokens(statement.BillTokens),
			formatTokens(statement.WasteTokens),
			formatTokens(statement.UnattributedTokens),
		}},
	}
	if err := sums.print(environment.Out); err != nil {
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

// BillCommand holds the commands about bills.
type BillCommand struct {
	List BillListCommand `cmd:"" help:"List the ledger lines of a profile."`
	Show BillShowCommand `cmd:"" help:"Show the ledger lines of one request."`
}

// BillListCommand lists ledger lines.
type BillListCommand struct {
	List
	Profile string `arg:"" help:"Name of the profile."`
}

var lineColumns = []string{"AT", "KIND", "REQUEST", "CALLER", "TEAM", "SERVICE", "PROMPT", "COMPLETION", "CHARGED", "ESTIMATED"}

func lineRow(line budget.Line) []string {
	return []string{
		line.At.Format(timeFormat),
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

// Run runs the command.
func (billListCommand BillListCommand) Run(environment Environment) error {
	client, err := billListCommand.client(environment)
	if err != nil {
		return err
	}
	lines, next, err := client.Bills(environment.Context, billListCommand.Profile, billListCommand.page())
	if err != nil {
		return err
	}
	return printList(environment, billListCommand.JSON, listOutput[budget.Line]{Entries: lines, Next: next}, lineColumns, lineRow)
}

// BillShowCommand shows the lines of one request.
type BillShowCommand struct {
	Connection
	Profile   string `arg:"" help:"Name of the profile."`
	RequestID string `arg:"" help:"Id of the request."`
	JSON      bool   `help:"Print JSON."`
}

// Run runs the command.
func (billShowCommand BillShowCommand) Run(environment Environment) error {
	client, err := billShowCommand.client(environment)
	if err != nil {
		return err
	}
	lines, err := billShowCommand.find(environment, client)
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
	return printList(environment, billShowCommand.JSON, listOutput[budget.Line]{Entries: lines}, lineColumns, lineRow)
}

// find reads the ledger page by page and keeps the lines of the request.
func (billShowCommand BillShowCommand) find(environment Environment, client *operator.Client) ([]budget.Line, error) {
	var found []budget.Line
	page := operator.Page{Limit: searchPageSize}
	for {
		lines, next, err := client.Bills(environment.Context, billShowCommand.Profile, page)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if line.RequestID == billShowCommand.RequestID {
				found = append(found, line)
			}
		}
		if next == "" {
			return found, nil
		}
		page.After = next
	}
}

// searchPageSize is the number of lines that a search reads at once.
const searchPageSize = 1000

// timeFormat shows times in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"
