package configuration

import (
	"encoding/json"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// profileEntry is the state of a profile at a revision of the configuration; the
// profile may not exist at that revision.
type profileEntry struct {
	profile Profile
	exists  bool
	// documentRevision is the revision that last changed the profile.
	documentRevision uint64
	// configurationRevision is the highest revision of the configuration at which
	// the entry is known to be current. It includes all records up to it.
	configurationRevision uint64
}

// profileCache is an LRU cache of profiles. A profile that is not cached is read
// from the table when a request needs it.
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

// apply applies a record to a cached profile. It does nothing if the profile is
// not cached or the cached entry already includes the record.
func (profileCache *profileCache) apply(name string, body []byte, revision uint64) error {
	profileCache.mutex.Lock()
	defer profileCache.mutex.Unlock()
	entry, ok := profileCache.entries.Peek(name)
	if !ok || entry.configurationRevision >= revision {
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

// addIfNewer caches an entry unless the cached one is as new or newer. It returns
// the entry that is in the cache afterwards.
func (profileCache *profileCache) addIfNewer(name string, entry profileEntry) profileEntry {
	profileCache.mutex.Lock()
	defer profileCache.mutex.Unlock()
	if current, ok := profileCache.entries.Peek(name); ok && current.configurationRevision >= entry.configurationRevision {
		return current
	}
	profileCache.entries.Add(name, entry)
	return entry
}

// newProfileEntry decodes a stored profile. With an empty body, the profile was
// deleted or never existed.
func newProfileEntry(name string, body []byte, documentRevision, configurationRevision uint64) (profileEntry, error) {
	entry := profileEntry{documentRevision: documentRevision, configurationRevision: configurationRevision}
	if len(body) == 0 {
		return entry, nil
	}
	if err := json.Unmarshal(body, &entry.profile); err != nil {
		return profileEntry{}, unreadableDocument(name, err)
	}
	entry.exists = true
	return entry, nil
}
