package main

import (
	"sync"
	"time"
)

const (
	memoryLimitKB  = 134 << 10
	memoryInterval = 5 * time.Millisecond
)

// memoryRule ends a process whose memory exceeds the limit of its machine, as the platform
// does. Only memory without a file behind it counts.
type memoryRule struct {
	router *router
	stop   chan struct{}
	ended  sync.WaitGroup
	peakKB int
	broken bool
}

func (router *router) enforceMemory() *memoryRule {
	rule := &memoryRule{router: router, stop: make(chan struct{})}
	rule.ended.Go(func() {
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-rule.stop:
				return
			case <-ticker.C:
				rule.check()
			}
		}
	})
	return rule
}

func (rule *memoryRule) check() {
	used := rule.router.memoryKB("RssAnon")
	rule.peakKB = max(rule.peakKB, used)
	if used > memoryLimitKB && !rule.broken {
		rule.broken = true
		rule.router.stage.note("platform: process of router %d has %d kB, its machine allows %d kB: killed", rule.router.number, used, memoryLimitKB)
		_ = rule.router.process.Process.Kill() // it may have ended
	}
}

// end stops the checks and reports whether the rule was broken.
func (rule *memoryRule) end() bool {
	close(rule.stop)
	rule.ended.Wait()
	rule.router.stage.note("router %d had %d kB at most, its machine allows %d kB", rule.router.number, rule.peakKB, memoryLimitKB)
	return rule.broken
}
