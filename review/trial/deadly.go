package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

const (
	// deadlyPart is the part that crashes runners, and soundPart the one in its place
	// without the disruption.
	deadlyPart, soundPart = "dead", "50a9d"
	// stable, crashesKnown and maxLate are the figures of the rule.
	stable       = 3 * time.Second
	crashesKnown = 5
	maxLate      = 3
	downTime     = 2 * time.Second
	// soundAnswered counts the sound prompts that were answered.
	soundAnswered = "part false: status 200"
)

const streamConfig = `{"version":1,"routes":[
 {"name":"dossier","host":"shop.example","prefix":"/dossier/","routeKind":"streaming","timeoutMs":8000,"goalMs":600,"priority":0,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":250}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvCapacity":357587,"stride":3,"most":12}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"cooks","apiKeys":["key-of-cooks"],"prepaid":100000000}]}`

// startEngines starts the configuration, runners and routers of a case with streams.
func (trial *trial) startEngines(runners, routers int) error {
	trial.store.Put("op", "config", []byte(streamConfig))
	for number := range runners {
		trial.addRunner(fmt.Sprintf("i-llm-%d", number+1), "llm", standin.Behaviour{
			Events: 8, Delay: 25 * time.Millisecond, DeadlyPart: deadlyPart, DownTime: downTime,
		})
	}
	return trial.startRouters(routers)
}

// prompts sends prompts and notes the answers.
type prompts struct {
	trial *trial
	mutex sync.Mutex
	count int
	// turns is how many parts, besides the first one, all prompts begin with.
	turns int
	// suspects are the IDs of the requests with the part.
	suspects map[string]bool
	answers  map[string]int
	senders  sync.WaitGroup
}

func newPrompts(trial *trial) *prompts {
	return &prompts{trial: trial, suspects: make(map[string]bool), answers: make(map[string]int)}
}

// send sends a prompt without waiting for the answer. The sound ones share the caller and
// the other parts with those that have the part.
func (prompts *prompts) send(withPart bool) {
	prompts.mutex.Lock()
	prompts.count++
	number := prompts.count
	id := fmt.Sprintf("%016x", 0xa0000+number)
	middle := fmt.Sprintf("b%x", number%8)
	if withPart {
		middle = soundPart
		if prompts.trial.trouble {
			middle = deadlyPart
		}
		prompts.suspects[id] = true
	}
	prompts.mutex.Unlock()
	router := prompts.trial.routers[number%len(prompts.trial.routers)]
	prompts.senders.Go(func() {
		answer := send(request{
			router: router, id: id, path: "/dossier/" + id, usage: "1500,24", timeout: 8 * time.Second,
			parts: fmt.Sprintf("aa:800,%s%s:400,%s:300", prompts.session(), middle, id),
		})
		prompts.trial.note("%s with the part %t by %s sent %s: status %d, %d events, %v", id, withPart, router.name, prompts.trial.at(answer.sentAt), answer.status, answer.events, answer.err)
		prompts.mutex.Lock()
		defer prompts.mutex.Unlock()
		prompts.answers[fmt.Sprintf("part %t: status %d", withPart, answer.status)]++
	})
}

// session returns the parts of the turns before.
func (prompts *prompts) session() string {
	var parts strings.Builder
	for turn := range prompts.turns {
		fmt.Fprintf(&parts, "c%x:5,", turn)
	}
	return parts.String()
}

// sendSound sends sound prompts at the interval until stopped is closed.
func (prompts *prompts) sendSound(interval time.Duration, stopped <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			prompts.send(false)
		}
	}
}

// judge counts the requests with the part that reached runners later than stable after the
// fifth crash. Without the disruption there is no crash.
//
// The case couldn't run if most of the sound prompts weren't answered.
func (prompts *prompts) judge() (bool, error) {
	prompts.senders.Wait()
	trial := prompts.trial
	if sound := prompts.count - len(prompts.suspects); 2*prompts.answers[soundAnswered] < sound {
		return false, fmt.Errorf("%d of %d sound prompts were answered", prompts.answers[soundAnswered], sound)
	}
	for _, arrival := range trial.allArrivals() {
		trial.note("%s reached a runner at %s", arrival.id, trial.at(arrival.at))
	}
	var crashes []time.Time
	for _, runner := range trial.runners {
		crashes = append(crashes, runner.DeadlyCrashTimes()...)
	}
	for _, engine := range trial.engines {
		crashes = append(crashes, engine.crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for number, crash := range crashes {
		trial.note("crash %d at %s", number+1, trial.at(crash))
	}
	for answer, count := range prompts.answers {
		trial.note("answers: %s: %d", answer, count)
	}
	if len(crashes) < crashesKnown {
		return false, nil
	}
	knownFrom := crashes[crashesKnown-1].Add(stable)
	late := 0
	for _, arrival := range trial.allArrivals() {
		if prompts.suspects[arrival.id] && arrival.at.After(knownFrom) {
			late++
			trial.note("late: %s at %s", arrival.id, trial.at(arrival.at))
		}
	}
	trial.note("%d requests with the part reached runners later than %s, %s after crash %d; allowed are %d", late, trial.at(knownFrom), stable, crashesKnown, maxLate)
	return late > maxLate, nil
}

// allArrivals returns the requests that reached runners of either kind, in order.
func (trial *trial) allArrivals() []engineArrival {
	var all []engineArrival
	for _, arrival := range trial.arrivals() {
		all = append(all, engineArrival{id: arrival.Header.Get("Wisterialb-Attempt-Id"), at: arrival.ReceivedAt})
	}
	for _, engine := range trial.engines {
		all = append(all, engine.arrivals...)
	}
	slices.SortFunc(all, func(a, b engineArrival) int { return a.at.Compare(b.at) })
	return all
}

// arrivals returns what the runners received, in order.
func (trial *trial) arrivals() []standin.ReceivedRequest {
	var arrivals []standin.ReceivedRequest
	for _, runner := range trial.runners {
		arrivals = append(arrivals, runner.ReceivedRequests()...)
	}
	slices.SortFunc(arrivals, func(a, b standin.ReceivedRequest) int {
		return cmp.Compare(a.ReceivedAt.UnixNano(), b.ReceivedAt.UnixNano())
	})
	return arrivals
}

// playBatch lets a scheduled job send prompts with the part at the same moment, every few
// seconds, beside sound traffic.
func playBatch(trial *trial) (bool, error) {
	const (
		runners, routers = 9, 3
		batch, batches   = 12, 4
		batchGap         = 6 * time.Second
	)
	if err := trial.startEngines(runners, routers); err != nil {
		return false, err
	}
	prompts := newPrompts(trial)
	stopped := make(chan struct{})
	prompts.senders.Go(func() { prompts.sendSound(40*time.Millisecond, stopped) })
	time.Sleep(stable + time.Second)
	for number := range batches {
		trial.note("batch %d", number+1)
		for range batch {
			prompts.send(true)
		}
		time.Sleep(batchGap)
	}
	close(stopped)
	return prompts.judge()
}

// playNight sends one prompt with the part after the other, with hardly any other traffic.
func playNight(trial *trial) (bool, error) {
	const (
		runners, routers = 9, 2
		first, prompt    = 10, 220
		gap              = 300 * time.Millisecond
		soundEvery       = 20
	)
	if err := trial.startEngines(runners, routers); err != nil {
		return false, err
	}
	prompts := newPrompts(trial)
	for range first {
		prompts.send(false)
		time.Sleep(gap)
	}
	time.Sleep(stable)
	for number := range prompt {
		prompts.send(number%soundEvery != 0)
		time.Sleep(gap)
	}
	return prompts.judge()
}

// playLong sends prompts of long sessions, in which the part comes after many others.
func playLong(trial *trial) (bool, error) {
	const (
		runners, routers = 9, 3
		turns            = 135
		prompt           = 20
		gap              = 1500 * time.Millisecond
	)
	if err := trial.startEngines(runners, routers); err != nil {
		return false, err
	}
	prompts := newPrompts(trial)
	prompts.turns = turns
	stopped := make(chan struct{})
	prompts.senders.Go(func() { prompts.sendSound(60*time.Millisecond, stopped) })
	time.Sleep(stable + time.Second)
	for range prompt {
		prompts.send(true)
		time.Sleep(gap)
	}
	close(stopped)
	return prompts.judge()
}
