package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

const (
	// prepaid is the tenant's budget in tokens.
	prepaid = 60_000
	// promptTokens is the sum of the parts of a prompt, outputTokens the most that is
	// generated, and eventTokens what an event holds.
	promptTokens, outputTokens, eventTokens = 1500, 24, 3
)

// stated is the header of requests that state their tokens.
var stated = fmt.Sprintf("%d,%d", promptTokens, outputTokens)

// playUnstated lets a consumer use up its tenant's budget, and then send the same requests
// without the header that states the tokens.
func playUnstated(trial *trial) (bool, error) {
	const first, second, gap = 80, 60, 50 * time.Millisecond
	trial.store.Put("op", "config", []byte(strings.Replace(streamConfig, "100000000", fmt.Sprint(prepaid), 1)))
	for number := range 3 {
		trial.addRunner(fmt.Sprintf("i-llm-%d", number+1), "llm", standin.Behaviour{Events: 8, Delay: 20 * time.Millisecond})
	}
	if err := trial.startRouters(2); err != nil {
		return false, err
	}
	usage := stated
	answers := make(map[string]answer)
	for number := range first + second {
		if number == first {
			time.Sleep(stable)
			if trial.trouble {
				usage = ""
			}
		}
		id := fmt.Sprintf("%016x", 0xb0000+number)
		router := trial.routers[number%len(trial.routers)]
		answer := send(request{
			router: router, id: id, path: "/dossier/" + id, usage: usage, timeout: 4 * time.Second,
			parts: fmt.Sprintf("aa:800,b%x:400,%s:300", number%4, id),
		})
		answers[id] = answer
		trial.note("%s by %s states %q: status %d, %d events, %v", id, router.name, usage, answer.status, answer.events, answer.err)
		time.Sleep(gap)
	}
	return trial.judgeBudget(answers)
}

// judgeBudget counts the tokens of the prompts that ran, once for each request, and of the
// events that were delivered. The case couldn't run if most of the budget wasn't used.
func (trial *trial) judgeBudget(answers map[string]answer) (bool, error) {
	ran := make(map[string]bool)
	for _, arrival := range trial.arrivals() {
		if arrival.Ran && arrival.Method == http.MethodPost {
			ran[arrival.Header.Get("Wisterialb-Attempt-Id")] = true
		}
	}
	used := 0
	for id, answer := range answers {
		if ran[id] {
			used += promptTokens + eventTokens*answer.events
			trial.note("%s ran", id)
		}
	}
	trial.note("%d requests ran; the tenant got %d tokens of %d prepaid", len(ran), used, prepaid)
	if 2*used < prepaid {
		return false, fmt.Errorf("only %d of %d tokens were used", used, prepaid)
	}
	return used > prepaid, nil
}
