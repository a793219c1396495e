package main

// A store that comes back from a copy some seconds old, while all processes of the
// system are killed. What a tenant consumed is added up from what consumers and
// runners saw.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

const (
	// prepaidTokens is the tenant's budget for the day.
	prepaidTokens = 300_000
	// A request has promptTokens and at most outputTokens, as events of eventTokens.
	promptTokens, outputTokens, eventTokens = 715, 60, 3
	eventsPerStream                         = outputTokens / eventTokens
	eventGap                                = 10 * time.Millisecond
	chatTimeLimit                           = 15 * time.Second
	budgetRunnerCount                       = 9
	// usualRate are the requests a second, and hotFactor is how many times as many the
	// tenant sends while it is hot, for hotPeriod.
	usualRate = 6.2
	hotFactor = 7.5
	hotPeriod = 6500 * time.Millisecond
	// The copy is made copyAge before the store goes away. It is away for awayPeriod.
	calmPeriod = 4 * time.Second
	copyAge    = 3 * time.Second
	awayPeriod = time.Second
	// All processes are killed killDelay after the store has gone away, and start again
	// after downPeriod.
	killDelay  = 200 * time.Millisecond
	downPeriod = 500 * time.Millisecond
	// The case ends when no request was served for idlePeriod, or after maxBudgetPeriod.
	idlePeriod      = 4 * time.Second
	maxBudgetPeriod = 75 * time.Second
)

const budgetConfiguration = `{"version":3,"routes":[
 {"name":"cook-chat","host":"` + host + `","prefix":"/chat/","routeKind":"streaming","timeoutMs":15000,"goalMs":1200,"priority":2,
  "service":"gasket-llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":250}],
"services":[{"name":"gasket-llm","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvCapacity":357587,"stride":3,"most":12}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"` + tenant + `","apiKeys":["` + apiKey + `"],"prepaid":%d}]}`

// budgetStage is the store, the runners and the routers of the case.
type budgetStage struct {
	record  *record
	store   *standin.Store
	runners []*standin.Upstream
	routers []*router

	mutex       sync.Mutex
	answers     []answer
	lastServed  time.Time
	consumption sync.WaitGroup
}

// publish writes what the operator and the runners write.
func (stage *budgetStage) publish() {
	stage.store.Put("op", "config", []byte(fmt.Sprintf(budgetConfiguration, prepaidTokens)))
	for _, runner := range stage.runners {
		stage.store.Put("servers", runner.ID, runner.RegistryEntry("ready"))
	}
}

func playBudget(record *record) (broken bool, err error) {
	directory, err := os.MkdirTemp("", "review-budget-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(directory)
	stage := &budgetStage{record: record, store: standin.NewStore(), lastServed: time.Now()}
	defer stage.store.Close()
	for number := range budgetRunnerCount {
		runner := standin.NewUpstream(fmt.Sprintf("i-llm-%d", number), "gasket-llm",
			standin.Behaviour{Events: eventsPerStream, Delay: eventGap, IncludeAttemptID: true, Load: "1,0,64"})
		defer runner.Close()
		stage.runners = append(stage.runners, runner)
	}
	stage.publish()
	if stage.routers, err = newRouters(directory, stage.store.Address()); err != nil {
		return false, err
	}
	defer killAll(stage.routers)
	if err := startAll(stage.routers); err != nil {
		return false, err
	}
	record.note("%d routers are ready; the tenant has %d tokens prepaid", len(stage.routers), prepaidTokens)
	err = stage.playDay()
	if err != nil {
		return false, err
	}
	return stage.judge()
}

// playDay sends the traffic, and plays the drill unless TROUBLE is 0.
func (stage *budgetStage) playDay() error {
	consumers := newConsumers(stage.routers, stage.record)
	startedAt := time.Now()
	drill := make(chan error, 1)
	go func() {
		time.Sleep(calmPeriod)
		if !hasTrouble() {
			drill <- nil
			return
		}
		drill <- stage.playDrill()
	}()
	for time.Since(startedAt) < maxBudgetPeriod && !stage.isIdle() {
		rate := usualRate
		if elapsed := time.Since(startedAt); elapsed > calmPeriod && elapsed < calmPeriod+hotPeriod {
			rate *= hotFactor
		}
		stage.consumption.Go(func() { stage.consume(consumers) })
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	stage.consumption.Wait()
	return <-drill
}

// isIdle reports whether no request was served for idlePeriod.
func (stage *budgetStage) isIdle() bool {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	return time.Since(stage.lastServed) > idlePeriod
}

// consume sends one request, and once more if the answer is a promise that it has not
// run.
func (stage *budgetStage) consume(consumers *consumers) {
	for range 2 {
		answer := consumers.send(request{
			id: newID(), path: "/chat/ring", promptTokens: promptTokens, outputTokens: outputTokens, timeLimit: chatTimeLimit,
		})
		stage.mutex.Lock()
		stage.answers = append(stage.answers, answer)
		if answer.status == http.StatusOK {
			stage.lastServed = time.Now()
		}
		stage.mutex.Unlock()
		if answer.status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// playDrill lets the store come back from a copy, and kills all processes meanwhile.
func (stage *budgetStage) playDrill() error {
	earlier := stage.store.Copy()
	stage.record.note("the store is copied")
	time.Sleep(copyAge)
	stage.store.SetFault(standin.Fault{RefuseStatus: http.StatusServiceUnavailable})
	stage.record.note("the store is away")
	time.Sleep(killDelay)
	killAll(stage.routers)
	stage.record.note("all processes of the system are killed")
	time.Sleep(downPeriod)
	for _, router := range stage.routers {
		if err := router.start(); err != nil {
			return err
		}
	}
	stage.record.note("all processes are started again")
	time.Sleep(awayPeriod - killDelay - downPeriod)
	stage.store.Restore(earlier)
	stage.publish()
	stage.store.SetFault(standin.Fault{})
	stage.record.note("the store is back from the copy; the operator and the runners have written again")
	return nil
}

// judge adds up what the tenant consumed: the prompt of each request that ran, once,
// and the events that consumers got.
func (stage *budgetStage) judge() (broken bool, err error) {
	ran := make(map[string]bool)
	for _, runner := range stage.runners {
		for _, received := range runner.ReceivedRequests() {
			id := received.Header.Get("Wisterialb-Attempt-Id")
			ran[id] = ran[id] || received.Ran
			stage.record.add("runner %s got %s at %s, ran %t, tenant %s", runner.ID, id, received.ReceivedAt.Format("15:04:05.000"),
				received.Ran, received.Header.Get("Wisterialb-Tenant"))
		}
	}
	served, exhausted, consumed := 0, 0, 0
	for _, answer := range stage.answers {
		switch answer.status {
		case http.StatusOK:
			served++
		case http.StatusPaymentRequired:
			exhausted++
		}
		if ran[answer.id] {
			consumed += answer.promptTokens + answer.events*eventTokens
		}
	}
	stage.record.note("%d requests, %d served, %d answered 402, %d ran", len(stage.answers), served, exhausted, len(ran))
	stage.record.note("consumed: %d tokens of %d prepaid (%.1f %%)", consumed, prepaidTokens, 100*float64(consumed)/prepaidTokens)
	if served == 0 {
		return false, fmt.Errorf("%w: no request was served", errNotRun)
	}
	return consumed > prepaidTokens, nil
}
