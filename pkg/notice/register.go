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

// Process identifies a process of an upstream. Of two with the same ID, the one with the
// later start time is the later process.
type Process struct {
	ID        string
	StartedAt int64
}

// Change is an answer that changes what the router sends to a process.
type Change struct {
	Kind    Kind
	Process Process
	// Notice is the state after the change.
	Notice Notice
	// Source names the answer.
	Source string
}

// RegisterConfig configures a Register.
type RegisterConfig struct {
	// OnChange receives each change; nil means that nothing does.
	OnChange func(change Change)
}

// Register holds the notices of processes, one for each ID. A notice also holds for
// earlier start times, since the list of upstreams may go back to an older copy while
// the process runs on; a later process starts without one. It is safe for concurrent
// use.
type Register struct {
	config  RegisterConfig
	mutex   sync.RWMutex
	entries map[string]entry
}

type entry struct {
	notice Notice
	// startedAt is the start time of the process.
	startedAt   int64
	lastAskedAt time.Time
}

// NewRegister returns a register without notices.
func NewRegister(config RegisterConfig) *Register {
	if config.OnChange == nil {
		config.OnChange = func(Change) {}
	}
	return &Register{config: config, entries: make(map[string]entry)}
}

// Of returns the notice of the process; the zero value if it asked for nothing.
func (register *Register) Of(process Process) Notice {
	register.mutex.RLock()
	defer register.mutex.RUnlock()
	return register.entries[process.ID].noticeOf(process)
}

// Record records what an answer of the process asks, and passes the changes on.
func (register *Register) Record(process Process, request Request, now time.Time) {
	if !request.Leaving && request.Pause <= 0 {
		return
	}
	before, after := register.update(process, request, now)
	if after.IsLeaving() && !before.IsLeaving() {
		register.config.OnChange(Change{Kind: StartedToLeave, Process: process, Notice: after, Source: request.Source})
	}
	if after.IsPaused(now) && !before.IsPaused(now) {
		register.config.OnChange(Change{Kind: Paused, Process: process, Notice: after, Source: request.Source})
	}
}

func (register *Register) update(process Process, request Request, now time.Time) (before, after Notice) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	entry, known := register.entries[process.ID]
	before = entry.noticeOf(process)
	after = before
	if request.Leaving {
		after = after.WithLeaving(now)
	}
	if request.Pause > 0 {
		after = after.WithPause(now.Add(request.Pause))
	}
	if !known && len(register.entries) >= maxProcesses {
		register.removeOldest()
	}
	entry.notice, entry.lastAskedAt = after, now
	entry.startedAt = max(entry.startedAt, process.StartedAt)
	register.entries[process.ID] = entry
	return before, after
}

// noticeOf returns the notice as far as it holds for the process.
func (entry entry) noticeOf(process Process) Notice {
	if process.StartedAt > entry.startedAt {
		return Notice{}
	}
	return entry.notice
}

func (register *Register) removeOldest() {
	var oldest string
	var oldestAskedAt time.Time
	for id, entry := range register.entries {
		if oldestAskedAt.IsZero() || entry.lastAskedAt.Before(oldestAskedAt) {
			oldest, oldestAskedAt = id, entry.lastAskedAt
		}
	}
	delete(register.entries, oldest)
}

// Forget removes the notice of an ID that now stands for another process.
func (register *Register) Forget(id string) {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	delete(register.entries, id)
}
