package configuration

import (
	"encoding/json"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// profileEntry is what the router knows of one profile at asOf.
type profileEntry struct {
	profile Profile
	// found is false for a profile known not to exist.
	found bool
	// revision wrote the document.
	revision uint64
	// asOf is the revision of the whole configuration for which the entry is
	// known to hold. A record up to it changes nothing.
	asOf uint64
}

// profileCache holds the profiles that the router serves. A profile that it
// does not hold is read from the table when it is asked for.
type profileCache struct {
	mutex   sync.Mutex
	entries *lru.Cache[string, profileEntry]
}

func newProfileCache(size int) *profileCache {
	entries, err := lru.New[string, profileEntry](size)
	if err != nil {
		panic(err)
	}
	return &profileCache{entries: entries}
}

func (profileCache *profileCache) lookup(name string) (profileEntry, bool) {
	return profileCache.entries.Get(name)
}

// apply brings a held profile up to a record. One that is not held stays so.
func (profileCache *profileCache) apply(name string, body []byte, revision uint64) error {
	profileCache.mutex.Lock()
	defer profileCache.mutex.Unlock()
	entry, ok := profileCache.entries.Peek(name)
	if !ok || entry.asOf >= revision {
		return nil
	}
	next, err := newProfileEntry(name, body, revision, revision)
	if err != nil {
		profileCache.entries.Remove(name)
		return err
	}
	profileCache.entries.Add(name, next)
	return nil
}

// add holds an entry that was read from the table, unless a newer one is held.
func (profileCache *profileCache) add(name string, entry profileEntry) profileEntry {
	profileCache.mutex.Lock()
	defer profileCache.mutex.Unlock()
	if current, ok := profileCache.entries.Peek(name); ok && current.asOf >= entry.asOf {
		return current
	}
	profileCache.entries.Add(name, entry)
	return entry
}

// newProfileEntry decodes a document; an empty body is a deleted profile.
func newProfileEntry(name string, body []byte, revision, asOf uint64) (profileEntry, error) {
	entry := profileEntry{revision: revision, asOf: asOf}
	if len(body) == 0 {
		return entry, nil
	}
	if err := json.Unmarshal(body, &entry.profile); err != nil {
		return profileEntry{}, unreadableDocument(name, err)
	}
	entry.found = true
	return entry, nil
}
