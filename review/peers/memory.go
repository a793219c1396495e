package main

import (
	"sync"
	"time"
)

const (
	memoryLimitKB  = 134 << 10
	memoryInterval = 5 * time.Millisecond
	// restartDelay is how long a process is down that the platform has ended.
	restartDelay = 500 * time.Millisecond
	// The rule is broken if on minMachines machines processes end by themselves minEnds
	// times: a tenth of the machines in use, two at least.
	minMachines, minEnds = 2, 3
)

// memoryRule ends processes whose memory exceeds the limit of their machines and starts
// them again, as the platform does. Only memory without a file behind it counts.
type memoryRule struct {
	stage *stage
	stop  chan struct{}
	ended sync.WaitGroup
	// ends and peaksKB are by the number of the router in the stage.
	ends, peaksKB []int
}

// enforceMemory watches the processes of all routers until end is called.
func (stage *stage) enforceMemory() *memoryRule {
	rule := &memoryRule{
		stage: stage, stop: make(chan struct{}), ends: make([]int, len(stage.routers)), peaksKB: make([]int, len(stage.routers)),
	}
	for index, router := range stage.routers {
		rule.ended.Go(func() {
			ticker := time.NewTicker(memoryInterval)
			defer ticker.Stop()
			for {
				select {
				case <-rule.stop:
					return
				case <-ticker.C:
					rule.check(index, router)
				}
			}
		})
	}
	return rule
}

func (rule *memoryRule) check(index int, router *router) {
	used := router.memoryKB("RssAnon")
	rule.peaksKB[index] = max(rule.peaksKB[index], used)
	if used <= memoryLimitKB {
		return
	}
	rule.ends[index]++
	rule.stage.note("platform: process of router %d has %d kB, its machine allows %d kB: ended", router.number, used, memoryLimitKB)
	router.kill()
	time.Sleep(restartDelay)
	if err := router.start(); err != nil {
		rule.stage.note("router %d was not started again: %v", router.number, err)
	}
}

// end stops the checks and reports whether the rule was broken.
func (rule *memoryRule) end() bool {
	close(rule.stop)
	rule.ended.Wait()
	machines := 0
	for index, ends := range rule.ends {
		if ends >= minEnds {
			machines++
		}
		rule.stage.note("router %d had %d kB at most, its machine allows %d kB; its process ended %d times",
			rule.stage.routers[index].number, rule.peaksKB[index], memoryLimitKB, ends)
	}
	return machines >= minMachines
}
