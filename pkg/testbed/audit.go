package testbed

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/budget"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
)

// Audit is what the ledger says of one profile, and what the upstreams say.
type Audit struct {
	Profile   string           `json:"profile"`
	Statement budget.Statement `json:"statement"`
	// UsedTokens is what the upstreams' record says was used.
	UsedTokens int64 `json:"used_tokens"`
	// Answered counts the answered requests that cost tokens.
	Answered int `json:"answered"`
	// Unbilled are answered requests without a bill.
	Unbilled []Unbilled `json:"unbilled"`
	// Doubled are requests with more than one bill.
	Doubled []string `json:"doubled"`
}

// Unbilled is an answered request without a bill.
type Unbilled struct {
	Key     string    `json:"key"`
	Kind    load.Kind `json:"kind"`
	Tries   int       `json:"tries"`
	Resumes int       `json:"resumes"`
	// Address is the router that answered.
	Address string `json:"address"`
	// At is when the answer was whole.
	At time.Time `json:"at"`
	// Lines are the other lines of the request.
	Lines []budget.Line `json:"lines"`
}

// ChargedTokens returns what the budget counts as spent or granted, of which
// nothing can be spent again.
func (audit Audit) ChargedTokens() int64 {
	return audit.Statement.LimitTokens - audit.Statement.FreeTokens
}

// Overspent reports whether more was used or charged than the limit.
func (audit Audit) Overspent() bool {
	return audit.UsedTokens > audit.Statement.LimitTokens || audit.Statement.SettledTokens > audit.Statement.LimitTokens
}

// Err returns the first broken promise, or nil.
func (audit Audit) Err() error {
	switch {
	case audit.Overspent():
		return broken(fmt.Sprintf("profile %s: %d tokens used, %d settled, limit %d", audit.Profile,
			audit.UsedTokens, audit.Statement.SettledTokens, audit.Statement.LimitTokens))
	case audit.UsedTokens > audit.ChargedTokens():
		return broken(fmt.Sprintf("profile %s: %d tokens used, %d charged", audit.Profile, audit.UsedTokens, audit.ChargedTokens()))
	case len(audit.Doubled) > 0:
		return broken(fmt.Sprintf("profile %s: %d requests billed twice, first %s", audit.Profile, len(audit.Doubled), audit.Doubled[0]))
	case len(audit.Unbilled) > 0:
		return broken(fmt.Sprintf("profile %s: %d of %d answered requests not billed, first %s", audit.Profile,
			len(audit.Unbilled), audit.Answered, audit.Unbilled[0].Key))
	default:
		return nil
	}
}

// WaitSettled waits until no profile has a grant that a router which is gone
// left behind, so that the bills which others held for it are settled. The error
// is that of the context.
func (testbed *Testbed) WaitSettled(ctx context.Context) error {
	ledger := budget.NewLedger(budget.LedgerConfig{Table: testbed.Fleet.Platform.Stored()})
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		left, err := testbed.leftBehind(ctx, ledger)
		if err != nil || left == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d grants left behind: %w", left, ctx.Err())
		case <-ticker.C:
		}
	}
}

// leftBehind counts the grants of routers that are gone.
func (testbed *Testbed) leftBehind(ctx context.Context, ledger *budget.Ledger) (int, error) {
	live := make(map[string]bool)
	for _, node := range testbed.Fleet.Routers {
		live[node.Incarnation()] = true
	}
	left := 0
	for _, team := range testbed.Teams {
		statement, err := ledger.Statement(ctx, team.Profile)
		if err != nil {
			return 0, err
		}
		for _, holder := range statement.Holders {
			if holder.GrantedTokens > 0 && !live[holder.Incarnation] {
				left++
			}
		}
	}
	return left, nil
}

// Audit compares the ledger with the results and the upstreams' record. It reads
// the platform's table itself, past rates and faults, and is meant for after
// Close of the routers, when all is settled.
func (testbed *Testbed) Audit(ctx context.Context) ([]Audit, error) {
	ledger := budget.NewLedger(budget.LedgerConfig{Table: testbed.Fleet.Platform.Stored()})
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
	audit := Audit{Profile: team.Profile, Statement: statement, UsedTokens: testbed.usedBy(team)}
	for _, result := range testbed.resultsOf(team) {
		if result.Outcome != fault.Answered {
			continue
		}
		audit.Answered++
		own := lines[callerOf(team)+":"+result.Key]
		if countBills(own) == 0 {
			audit.Unbilled = append(audit.Unbilled, unbilled(result, own))
		}
	}
	for request, own := range lines {
		if countBills(own) > 1 {
			audit.Doubled = append(audit.Doubled, request)
		}
	}
	return audit, nil
}

func unbilled(result load.Result, lines []budget.Line) Unbilled {
	return Unbilled{
		Key:     result.Key,
		Kind:    result.Request.Kind,
		Tries:   result.Tries,
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

// readLines reads the ledger lines of each request.
func readLines(ctx context.Context, ledger *budget.Ledger, profile string) (map[string][]budget.Line, error) {
	found := make(map[string][]budget.Line)
	after := ""
	for {
		lines, next, err := ledger.Lines(ctx, profile, after, 0)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			found[line.RequestID] = append(found[line.RequestID], line)
		}
		if next == "" {
			return found, nil
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

// usedBy returns the tokens that engines used for the team's requests.
func (testbed *Testbed) usedBy(team load.Team) int64 {
	own := make(map[string]bool)
	for _, result := range testbed.resultsOf(team) {
		own[result.Request.PromptHash()] = true
	}
	used := int64(0)
	for _, engine := range testbed.Fleet.Engines {
		for _, run := range engine.Runs() {
			if own[run.PromptHash] {
				used += int64(run.PromptTokens + run.CompletionTokens)
			}
		}
	}
	return used
}
