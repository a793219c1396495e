package allowance

import (
	"sync"
)

// waitingRequests are the requests that wait for tokens. A write takes into account
// those that came before it was drafted, and only these are woken at its end. The
// zero value has none. It is safe for concurrent use.
type waitingRequests struct {
	mutex sync.Mutex
	// covered are the requests that the current write takes into account, and those of
	// earlier ones that were not woken. next are those that came since.
	covered []waitingBatch
	next    waitingBatch
}

// waitingBatch are requests that are woken together.
type waitingBatch struct {
	tokensByTeam map[string]int64
	// done is closed when they are woken; nil if there are none.
	done chan struct{}
}

// add adds a request and returns a channel that is closed when it is woken.
func (waitingRequests *waitingRequests) add(team string, tokens int64) <-chan struct{} {
	waitingRequests.mutex.Lock()
	defer waitingRequests.mutex.Unlock()
	if waitingRequests.next.done == nil {
		waitingRequests.next = waitingBatch{tokensByTeam: make(map[string]int64), done: make(chan struct{})}
	}
	waitingRequests.next.tokensByTeam[team] += tokens
	return waitingRequests.next.done
}

// cover makes all requests those of the write that is drafted now, and returns the
// tokens that they need by team.
func (waitingRequests *waitingRequests) cover() map[string]int64 {
	waitingRequests.mutex.Lock()
	defer waitingRequests.mutex.Unlock()
	if waitingRequests.next.done != nil {
		waitingRequests.covered = append(waitingRequests.covered, waitingRequests.next)
		waitingRequests.next = waitingBatch{}
	}
	return waitingRequests.coveredTokens()
}

// tokens returns the tokens that all requests need, by team.
func (waitingRequests *waitingRequests) tokens() map[string]int64 {
	waitingRequests.mutex.Lock()
	defer waitingRequests.mutex.Unlock()
	total := waitingRequests.coveredTokens()
	for team, tokens := range waitingRequests.next.tokensByTeam {
		total[team] += tokens
	}
	return total
}

func (waitingRequests *waitingRequests) coveredTokens() map[string]int64 {
	total := make(map[string]int64)
	for _, batch := range waitingRequests.covered {
		for team, tokens := range batch.tokensByTeam {
			total[team] += tokens
		}
	}
	return total
}

// notifyCovered wakes the requests of the current write, if each team's need is at most
// what unspent returns for it.
func (waitingRequests *waitingRequests) notifyCovered(unspent func(team string) int64) {
	waitingRequests.mutex.Lock()
	defer waitingRequests.mutex.Unlock()
	if unspent != nil {
		for team, tokens := range waitingRequests.coveredTokens() {
			if unspent(team) < tokens {
				return
			}
		}
	}
	waitingRequests.wakeCovered()
}

// notifyAll wakes all requests.
func (waitingRequests *waitingRequests) notifyAll() {
	waitingRequests.cover()
	waitingRequests.mutex.Lock()
	defer waitingRequests.mutex.Unlock()
	waitingRequests.wakeCovered()
}

func (waitingRequests *waitingRequests) wakeCovered() {
	for _, batch := range waitingRequests.covered {
		close(batch.done)
	}
	waitingRequests.covered = nil
}
