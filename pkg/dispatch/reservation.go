package dispatch

import "context"

// reservation tracks the reserved tokens that the attempts of one request have
// used. An attempt whose usage is unknown counts as its worst case, so all
// attempts together never use more tokens than are reserved.
type reservation struct {
	work Work
	// extendedTokens were added by Work.Extend.
	extendedTokens int64
	// wastedTokens is the known usage of abandoned attempts.
	wastedTokens int64
	// unknownUsageAttempts counts the abandoned attempts of unknown usage.
	unknownUsageAttempts int64
	// reportedPromptTokens is the prompt size that an engine reported; zero means
	// unknown.
	reportedPromptTokens int64
}

// addUsage adds the usage of an abandoned attempt.
func (reservation *reservation) addUsage(usage Usage) {
	if !usage.Known {
		reservation.unknownUsageAttempts++
		return
	}
	reservation.wastedTokens += usage.Tokens()
	if usage.PromptTokens > 0 {
		reservation.reportedPromptTokens = usage.PromptTokens
	}
}

// remainingTokens returns the reserved tokens that may still be used.
func (reservation *reservation) remainingTokens() int64 {
	return reservation.work.MaxTokens + reservation.extendedTokens - reservation.wastedTokens - reservation.unknownUsageAttempts*reservation.work.MaxTokens
}

// nextAttemptTokens returns the worst-case usage of one more attempt. Once an
// engine has reported the prompt size, that size replaces the estimated bound.
func (reservation *reservation) nextAttemptTokens() int64 {
	if reservation.reportedPromptTokens > 0 && reservation.work.PromptTokens > 0 {
		return reservation.work.MaxTokens - reservation.work.PromptTokens + min(reservation.reportedPromptTokens, reservation.work.PromptTokens)
	}
	return reservation.work.MaxTokens
}

// reserveNextAttempt reports whether the reservation covers one more attempt. It
// extends the reservation if necessary and possible.
func (reservation *reservation) reserveNextAttempt(ctx context.Context) bool {
	shortfall := reservation.nextAttemptTokens() - reservation.remainingTokens()
	if shortfall <= 0 {
		return true
	}
	if reservation.work.Extend == nil || reservation.work.Extend(ctx, shortfall) != nil {
		return false
	}
	reservation.extendedTokens += shortfall
	return true
}
