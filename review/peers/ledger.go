package main

import (
	"net/http"
	"sync"
)

// answered is what a runner gave to a request.
type answered struct {
	status int
	body   string
}

// ledger records what the runners answered, by the ID of the request.
type ledger struct {
	mutex   sync.Mutex
	answers map[string][]answered
}

func newLedger() *ledger { return &ledger{answers: make(map[string][]answered)} }

func (ledger *ledger) add(request *http.Request, status int, body string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	id := request.Header.Get("Wisterialb-Attempt-Id")
	ledger.answers[id] = append(ledger.answers[id], answered{status: status, body: body})
}

// gave reports whether a runner gave the status to the request.
func (ledger *ledger) gave(id string, status int) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, answered := range ledger.answers[id] {
		if answered.status == status {
			return true
		}
	}
	return false
}
