package dispatch

import "context"

// reservation tracks how many of the reserved tokens the attempts of one request
// have used. An attempt of unknown usage counts with its worst-case usage, so that
// all attempts together never use more tokens than are reserved.
type reservation struct {
	work Work
	// extendedTokens is the number of tokens that Work.Extend has added.
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
	return reservation.work.ReservedTokens + reservation.extendedTokens - reservation.wastedTokens - reservation.unknownUsageAttempts*reservation.work.ReservedTokens
}

// nextAttemptTokens returns the worst-case usage of one more attempt, in tokens.
// Once an engine has reported the prompt size, that size replaces
// Work.MaxPromptTokens.
func (reservation *reservation) nextAttemptTokens() int64 {
	if reservation.reportedPromptTokens > 0 && reservation.work.MaxPromptTokens > 0 {
		return reservation.work.ReservedTokens - reservation.work.MaxPromptTokens + min(reservation.reportedPromptTokens, reservation.work.MaxPromptTokens)
	}
	return reservation.work.ReservedTokens
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
