package budget

import (
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// exhaustedRetryAfter is the retry delay sent to callers if the budget cannot
// cover the demand even when all unsettled tokens come back.
const exhaustedRetryAfter = 30 * time.Second

// budgetStatus is the state of a budget as last read from the table.
type budgetStatus struct {
	// isKnown is set if the table could be read.
	isKnown     bool
	limitTokens int64
	freeTokens  int64
	// recoverableTokens are all tokens that are not settled: free ones and
	// those held by any router.
	recoverableTokens int64
}

func invalidDemand(demand Demand) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("cannot reserve %d tokens of profile %q", demand.Tokens, demand.Profile),
		Remedy:  "name a profile and a worst-case cost of at least 0 tokens",
	})
}

func drainingError() error {
	return fault.New(fault.Config{
		Kind:    fault.Draining,
		Message: "this router is shutting down",
		Remedy:  "send the request to another router",
	})
}

func deadlineError() error {
	return fault.New(fault.Config{
		Kind:    fault.DeadlineExceeded,
		Message: "the deadline passed before tokens were reserved",
		Remedy:  "retry with a later deadline",
	})
}

func retiredError(profile string) error {
	return fault.New(fault.Config{
		Kind:    fault.Forbidden,
		Message: fmt.Sprintf("profile %q is retired", profile),
		Remedy:  "use another profile, or publish this one again",
	})
}

func unknownBudget(profile string) error {
	return fault.New(fault.Config{
		Kind:    fault.NotFound,
		Message: fmt.Sprintf("profile %q has no budget", profile),
		Remedy:  "publish the profile first",
	})
}

func tooManyHolders(profile string) error {
	return fault.New(fault.Config{
		Kind:    fault.TooLarge,
		Message: fmt.Sprintf("profile %q has %d holder rows or more, too many for one statement", profile, maxHolders),
		Remedy:  "move its callers to a new profile, and keep this one for its ledger",
	})
}

func exhaustedError(demand Demand, budgetStatus budgetStatus, retryAfter time.Duration) error {
	return fault.New(fault.Config{
		Kind: fault.BudgetExhausted,
		Message: fmt.Sprintf("profile %q needs %d tokens; %d of its limit of %d are free and at most %d more can come back",
			demand.Profile, demand.Tokens, budgetStatus.freeTokens, budgetStatus.limitTokens,
			max(0, budgetStatus.recoverableTokens-budgetStatus.freeTokens)),
		Remedy:     "top up the profile, ask for fewer tokens, or retry later",
		RetryAfter: retryAfter,
	})
}

func tableUnavailable(demand Demand, cause error) error {
	return fault.New(fault.Config{
		Kind: fault.Unavailable,
		Message: fmt.Sprintf("profile %q needs %d tokens, and neither the table nor another router granted them",
			demand.Profile, demand.Tokens),
		Remedy:     "retry later or at another router",
		RetryAfter: DefaultMaxWait,
		Cause:      cause,
	})
}

func noSpareTokens(request LoanRequest) error {
	return fault.New(fault.Config{
		Kind:    fault.BudgetExhausted,
		Message: fmt.Sprintf("no tokens of profile %q can be spared", request.Profile),
		Remedy:  "ask another router",
	})
}
