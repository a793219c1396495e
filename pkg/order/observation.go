package order

import (
	"sync"
	"time"
)

// observations records, by name of the row, which version this router last read
// and when it first read that version. It is safe for concurrent use.
type observations struct {
	mutex  sync.Mutex
	byName map[string]observation
}

// unchangedFor records the version of a row that was read now, and returns for
// how long this router has observed that version.
func (observations *observations) unchangedFor(name string, version uint64, now time.Time) time.Duration {
	observations.mutex.Lock()
	defer observations.mutex.Unlock()
	if observations.byName == nil {
		observations.byName = make(map[string]observation)
	}
	last, ok := observations.byName[name]
	if !ok || last.version != version {
		observations.byName[name] = observation{version: version, firstReadAt: now}
		return 0
	}
	return now.Sub(last.firstReadAt)
}

// forget removes the observation of a row. It is called after a failed read:
// while the table is unreachable, the holder may be unable to renew its lease, so
// this time must not count as time without renewal.
func (observations *observations) forget(name string) {
	observations.mutex.Lock()
	defer observations.mutex.Unlock()
	delete(observations.byName, name)
}
