package testbed

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
)

// Audit compares the ledger of one profile with the results of its requests and
// the token usage that the engines recorded.
type Audit struct {
	Profile   string           `json:"profile"`
	Statement budget.Statement `json:"statement"`
	// UsedTokens are the tokens that the engines recorded as used.
	UsedTokens int64 `json:"used_tokens"`
	// Answered counts the requests that were answered.
	Answered int `json:"answered"`
	// Unbilled are answered requests without a bill.
	Unbilled []UnbilledRequest `json:"unbilled"`
	// BilledTwice has the IDs of requests with more than one bill.
	BilledTwice []string `json:"doubled"`
}

// UnbilledRequest is an answered request without a bill.
type UnbilledRequest struct {
	Key     string    `json:"key"`
	Kind    load.Kind `json:"kind"`
	Tries   int       `json:"tries"`
	Resumes int       `json:"resumes"`
	// Address is the IP number and port of the router that answered.
	Address string `json:"address"`
	// At is when the answer was complete.
	At time.Time `json:"at"`
	// Lines are the ledger lines of the request, none of which is a bill.
	Lines []budget.Line `json:"lines"`
}

// ChargedTokens returns the part of the limit that is settled or granted and so
// no longer free.
func (audit Audit) ChargedTokens() int64 {
	return audit.Statement.LimitTokens - audit.Statement.FreeTokens
}

// Overspent reports whether the used or the settled tokens exceed the limit.
func (audit Audit) Overspent() bool {
	return audit.UsedTokens > audit.Statement.LimitTokens || audit.Statement.SettledTokens > audit.Statement.LimitTokens
}

// Err returns the first violated guarantee, or nil.
func (audit Audit) Err() error {
	switch {
	case audit.Overspent():
		return violationError(fmt.Sprintf("profile %s: %d tokens used, %d settled, limit %d", audit.Profile,
			audit.UsedTokens, audit.Statement.SettledTokens, audit.Statement.LimitTokens))
	case audit.UsedTokens > audit.ChargedTokens():
		return violationError(fmt.Sprintf("profile %s: %d tokens used, %d charged", audit.Profile, audit.UsedTokens, audit.ChargedTokens()))
	case len(audit.BilledTwice) > 0:
		return violationError(fmt.Sprintf("profile %s: %d requests billed twice, first %s", audit.Profile, len(audit.BilledTwice), audit.BilledTwice[0]))
	case len(audit.Unbilled) > 0:
		return violationError(fmt.Sprintf("profile %s: %d of %d answered requests not billed, first %s", audit.Profile,
			len(audit.Unbilled), audit.Answered, audit.Unbilled[0].Key))
	default:
		return nil
	}
}

// WaitSettled waits until no profile has a grant of a stopped router, which means
// that the bills of which other routers held backup copies are settled. The
// errors are those of the ledger and of the context.
func (testbed *Testbed) WaitSettled(ctx context.Context) error {
	ledger := budget.NewLedger(budget.LedgerConfig{Table: testbed.Fleet.Platform.BackingTable()})
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		orphaned, err := testbed.countOrphanedGrants(ctx, ledger)
		if err != nil || orphaned == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d grants of stopped routers remain: %w", orphaned, ctx.Err())
		case <-ticker.C:
		}
	}
}

// countOrphanedGrants counts the grants of router incarnations that no longer
// run.
func (testbed *Testbed) countOrphanedGrants(ctx context.Context, ledger *budget.Ledger) (int, error) {
	live := make(map[string]bool)
	for _, node := range testbed.Fleet.Routers {
		live[node.Incarnation()] = true
	}
	orphaned := 0
	for _, team := range testbed.Teams {
		statement, err := ledger.Statement(ctx, team.Profile)
		if err != nil {
			return 0, err
		}
		for _, holder := range statement.Holders {
			if holder.GrantedTokens > 0 && !live[holder.Incarnation] {
				orphaned++
			}
		}
	}
	return orphaned, nil
}

// Audit compares the ledger with the results and the engines' records. It reads
// the platform's table directly, which bypasses rate limits and injected faults,
// and expects that the routers are closed and everything is settled.
func (testbed *Testbed) Audit(ctx context.Context) ([]Audit, error) {
	ledger := budget.NewLedger(budget.LedgerConfig{Table: testbed.Fleet.Platform.BackingTable()})
	audits := make([]Audit, 0, len(testbed.Teams))
	for _, team := range testbed.Teams {
		audit, err := testbed.auditTeam(ctx, ledger, team)
		if err != nil {
			return nil, err
		}
		audits = append(audits, audit)
	}
	return audits, nil
}

func (testbed *Testbed) auditTeam(ctx context.Context, ledger *budget.Ledger, team load.Team) (Audit, error) {
	statement, err := ledger.Statement(ctx, team.Profile)
	if err != nil {
		return Audit{}, err
	}
	lines, err := readLines(ctx, ledger, team.Profile)
	if err != nil {
		return Audit{}, err
	}
	audit := Audit{Profile: team.Profile, Statement: statement, UsedTokens: testbed.engineTokens(team)}
	for _, result := range testbed.resultsOf(team) {
		if result.Outcome != fault.Answered {
			continue
		}
		audit.Answered++
		requestLines := lines[callerName(team)+":"+result.Key]
		if countBills(requestLines) == 0 {
			audit.Unbilled = append(audit.Unbilled, newUnbilledRequest(result, requestLines))
		}
	}
	for request, requestLines := range lines {
		if countBills(requestLines) > 1 {
			audit.BilledTwice = append(audit.BilledTwice, request)
		}
	}
	return audit, nil
}

func newUnbilledRequest(result load.Result, lines []budget.Line) UnbilledRequest {
	return UnbilledRequest{
		Key:     result.Key,
		Kind:    result.Request.Kind,
		Tries:   result.Attempts,
		Resumes: result.Resumes,
		Address: result.Address,
		At:      result.EndedAt,
		Lines:   lines,
	}
}

func countBills(lines []budget.Line) int {
	bills := 0
	for _, line := range lines {
		if line.Kind == budget.LineBill {
			bills++
		}
	}
	return bills
}

// readLines reads the ledger lines of a profile, by request ID.
func readLines(ctx context.Context, ledger *budget.Ledger, profile string) (map[string][]budget.Line, error) {
	linesByRequest := make(map[string][]budget.Line)
	after := ""
	for {
		lines, next, err := ledger.Lines(ctx, profile, after, 0)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			linesByRequest[line.RequestID] = append(linesByRequest[line.RequestID], line)
		}
		if next == "" {
			return linesByRequest, nil
		}
		after = next
	}
}

func (testbed *Testbed) resultsOf(team load.Team) []load.Result {
	var results []load.Result
	for _, result := range testbed.Results() {
		if result.Request.Team.Name == team.Name {
			results = append(results, result)
		}
	}
	return results
}

// engineTokens returns the prompt and completion tokens that the engines
// recorded for the team's requests.
func (testbed *Testbed) engineTokens(team load.Team) int64 {
	promptHashes := make(map[string]bool)
	for _, result := range testbed.resultsOf(team) {
		promptHashes[result.Request.PromptHash()] = true
	}
	usedTokens := int64(0)
	for _, engine := range testbed.Fleet.Engines {
		for _, run := range engine.Runs() {
			if promptHashes[run.PromptHash] {
				usedTokens += int64(run.PromptTokens + run.CompletionTokens)
			}
		}
	}
	return usedTokens
}
