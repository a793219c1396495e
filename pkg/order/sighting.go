package order

import (
	"sync"
	"time"
)

// sightings remembers since when rows have been unchanged.
type sightings struct {
	mutex sync.Mutex
	seen  map[string]sighting
}

// age returns how long a row has had its version, as far as this router saw.
func (sightings *sightings) age(name string, version uint64, now time.Time) time.Duration {
	sightings.mutex.Lock()
	defer sightings.mutex.Unlock()
	if sightings.seen == nil {
		sightings.seen = make(map[string]sighting)
	}
	seen, ok := sightings.seen[name]
	if !ok || seen.version != version {
		sightings.seen[name] = sighting{version: version, since: now}
		return 0
	}
	return now.Sub(seen.since)
}

// forget drops what was seen of a row. It is called after a failed read, since
// the holder may have been unable to renew as well.
func (sightings *sightings) forget(name string) {
	sightings.mutex.Lock()
	defer sightings.mutex.Unlock()
	delete(sightings.seen, name)
}
