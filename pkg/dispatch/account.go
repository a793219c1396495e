package dispatch

import "context"

// account keeps what the attempts of one request have used of its reservation.
// Attempts whose usage isn't known count with their worst case, so that all
// attempts together never use more than what is reserved.
type account struct {
	work Work
	// extended is what Extend has added.
	extended int64
	// waste is what settled attempts used, as far as known.
	waste int64
	// unknown is the number of attempts whose usage is not known.
	unknown int64
	// prompt is the prompt's size as an engine reported it; zero is unknown.
	prompt int64
}

// settle takes in the usage of an attempt that wasn't delivered.
func (account *account) settle(usage Usage) {
	if !usage.Known {
		account.unknown++
		return
	}
	account.waste += usage.Tokens()
	if usage.PromptTokens > 0 {
		account.prompt = usage.PromptTokens
	}
}

// left returns what may still be used.
func (account *account) left() int64 {
	return account.work.MaxTokens + account.extended - account.waste - account.unknown*account.work.MaxTokens
}

// need returns the worst case of one more attempt. Once an engine has counted
// the prompt, its count takes the place of the bound.
func (account *account) need() int64 {
	if account.prompt > 0 && account.work.PromptTokens > 0 {
		return account.work.MaxTokens - account.work.PromptTokens + min(account.prompt, account.work.PromptTokens)
	}
	return account.work.MaxTokens
}

// afford reports whether one more attempt is covered, and extends the
// reservation for it if it can.
func (account *account) afford(ctx context.Context) bool {
	lacking := account.need() - account.left()
	if lacking <= 0 {
		return true
	}
	if account.work.Extend == nil || account.work.Extend(ctx, lacking) != nil {
		return false
	}
	account.extended += lacking
	return true
}
