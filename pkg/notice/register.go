package notice

import (
	"sync"
	"time"
)

// maxProcesses limits the processes that a register holds. When it is full, the one
// that asked for nothing for the longest time gives way.
const maxProcesses = 4096

// Request is what one answer asks of the router.
type Request struct {
	// Leaving is set when the process says that it is leaving.
	Leaving bool
	// Pause is how long the process wants nothing; zero means that it doesn't say.
	Pause time.Duration
	// Source names the answer in logs.
	Source string
}

// Kind is the kind of a Change.
type Kind string

// Kinds of changes.
const (
	// StartedToLeave means that a process said for the first time that it is leaving.
	StartedToLeave Kind = "leaving"
	// Paused means that a process that was not paused asked for a pause.
	Paused Kind = "paused"
)

// Change is an answer that changes what the router sends to a process.
type Change[P comparable] struct {
	Kind    Kind
	Process P
	// Notice is the state after the change.
	Notice Notice
	// Source names the answer.
	Source string
}

// RegisterConfig configures a Register.
type RegisterConfig[P comparable] struct {
	// OnChange receives each change; nil means that nothing does.
	OnChange func(change Change[P])
}

// Register holds the notices of processes. P identifies a process: a later process
// must have another key, even at the same address. It is safe for concurrent use.
type Register[P comparable] struct {
	config  RegisterConfig[P]
	mutex   sync.RWMutex
	entries map[P]entry
}

type entry struct {
	notice      Notice
	lastAskedAt time.Time
}

// NewRegister returns a register without notices.
func NewRegister[P comparable](config RegisterConfig[P]) *Register[P] {
	if config.OnChange == nil {
		config.OnChange = func(Change[P]) {}
	}
	return &Register[P]{config: config, entries: make(map[P]entry)}
}

// Of returns the notice of the process; the zero value if it asked for nothing.
func (register *Register[P]) Of(process P) Notice {
	register.mutex.RLock()
	defer register.mutex.RUnlock()
	return register.entries[process].notice
}

// Record records what an answer of the process asks, and passes the changes on.
func (register *Register[P]) Record(process P, request Request, now time.Time) {
	if !request.Leaving && request.Pause <= 0 {
		return
	}
	before, after := register.update(process, request, now)
	if after.IsLeaving() && !before.IsLeaving() {
		register.config.OnChange(Change[P]{Kind: StartedToLeave, Process: process, Notice: after, Source: request.Source})
	}
	if after.IsPaused(now) && !before.IsPaused(now) {
		register.config.OnChange(Change[P]{Kind: Paused, Process: process, Notice: after, Source: request.Source})
	}
}

func (register *Register[P]) update(process P, request Request, now time.Time) (before, after Notice) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	before = register.entries[process].notice
	after = before
	if request.Leaving {
		after = after.WithLeaving(now)
	}
	if request.Pause > 0 {
		after = after.WithPause(now.Add(request.Pause))
	}
	if _, known := register.entries[process]; !known && len(register.entries) >= maxProcesses {
		register.removeOldest()
	}
	register.entries[process] = entry{notice: after, lastAskedAt: now}
	return before, after
}

func (register *Register[P]) removeOldest() {
	var oldest P
	var oldestAskedAt time.Time
	for process, entry := range register.entries {
		if oldestAskedAt.IsZero() || entry.lastAskedAt.Before(oldestAskedAt) {
			oldest, oldestAskedAt = process, entry.lastAskedAt
		}
	}
	delete(register.entries, oldest)
}

// Forget removes the notice of a process whose key now stands for another one.
func (register *Register[P]) Forget(process P) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	delete(register.entries, process)
}
