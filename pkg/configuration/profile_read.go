package configuration

import (
	"context"
	"encoding/json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxProfileReads is the maximum number of attempts to read one profile. A read
// is repeated if the view advanced by more records than are kept in memory before
// the read returned.
const maxProfileReads = 3

// Profile returns a profile from the cache, or reads it from the table or a peer
// and caches it.
//
// Errors: fault.NotFound if no such profile exists; fault.Unavailable if the
// profile is not cached and the table is unreachable, or if the configuration
// changes too fast to read it; other errors of the table.
func (follower *Follower) Profile(ctx context.Context, name string) (Profile, error) {
	if entry, ok := follower.profiles.lookup(name); ok {
		return entry.profileOrNotFound(name)
	}
	value, err, _ := follower.profileReads.Do(name, func() (any, error) {
		return follower.readProfile(ctx, name)
	})
	if err != nil {
		return Profile{}, err
	}
	return value.(profileEntry).profileOrNotFound(name)
}

// profileOrNotFound returns the profile, or a fault.NotFound error if it does not
// exist.
func (profileEntry profileEntry) profileOrNotFound(name string) (Profile, error) {
	if !profileEntry.exists {
		return Profile{}, notFound("profile/" + name)
	}
	return profileEntry.profile, nil
}

func (follower *Follower) readProfile(ctx context.Context, name string) (profileEntry, error) {
	for range maxProfileReads {
		entry, err := follower.fetchProfile(ctx, name)
		if err != nil {
			return profileEntry{}, err
		}
		current, ok, err := follower.cacheProfile(name, entry)
		if err != nil {
			return profileEntry{}, err
		}
		if ok {
			return current, nil
		}
	}
	return profileEntry{}, fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "profile/" + name + " could not be read while the configuration was changing",
		Remedy:  "retry",
	})
}

// fetchProfile reads the profile from the table, or from a peer while the table
// is unreachable or overloaded.
func (follower *Follower) fetchProfile(ctx context.Context, name string) (profileEntry, error) {
	entry, err := follower.profileFromTable(ctx, name)
	if err == nil || follower.peerReader == nil || !retryable(err) {
		return entry, err
	}
	profileCopy, peerErr := follower.peerReader.Profile(ctx, name)
	if peerErr != nil || profileCopy == nil {
		return profileEntry{}, err
	}
	return newProfileEntry(name, profileCopy.Body, profileCopy.DocumentRevision, profileCopy.ConfigurationRevision)
}

// profileFromTable reads the head and the document in one snapshot, so that the
// document is known to be current at the head's revision.
func (follower *Follower) profileFromTable(ctx context.Context, name string) (profileEntry, error) {
	items, err := follower.table.Get(ctx, headKey(), documentKey(KindProfile, name))
	if err != nil {
		return profileEntry{}, err
	}
	head, err := platform.DecodeRow[headRow](items[0])
	if err != nil {
		return profileEntry{}, err
	}
	row, err := platform.DecodeRow[documentRow](items[1])
	if err != nil {
		return profileEntry{}, err
	}
	return newProfileEntry(name, row.Body, row.Revision, head.Revision)
}

// ProfileCopy is a profile from the cache of one router, sent to another.
type ProfileCopy struct {
	// Body is the profile as JSON; empty if the profile does not exist.
	Body []byte
	// DocumentRevision is the revision that last changed the profile.
	DocumentRevision uint64
	// ConfigurationRevision is the highest revision of the configuration at which
	// the copy is known to be current.
	ConfigurationRevision uint64
}

// CopyProfile returns a cached profile for a peer; nil if it is not cached or the
// configuration is not loaded. The error is fault.Internal if it can't be
// encoded.
func (follower *Follower) CopyProfile(name string) (*ProfileCopy, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	entry, ok := follower.profiles.lookup(name)
	if !ok || !follower.loaded.Load() {
		return nil, nil
	}
	profileCopy := &ProfileCopy{DocumentRevision: entry.documentRevision, ConfigurationRevision: max(entry.configurationRevision, follower.Revision())}
	if !entry.exists {
		return profileCopy, nil
	}
	body, err := json.Marshal(entry.profile)
	if err != nil {
		return nil, unreadableDocument(name, err)
	}
	profileCopy.Body = body
	return profileCopy, nil
}

// cacheProfile caches an entry and applies the records that were adopted since
// it was read, so that it is not older than the view. It returns false if some of
// these records are no longer in memory.
func (follower *Follower) cacheProfile(name string, entry profileEntry) (profileEntry, bool, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	viewRevision := follower.Revision()
	if entry.configurationRevision < viewRevision && (len(follower.recentRecords) == 0 || follower.recentRecords[0].Revision > entry.configurationRevision+1) {
		return profileEntry{}, false, nil
	}
	current := follower.profiles.addIfNewer(name, entry)
	for _, record := range follower.recentRecords {
		if record.Change.Kind != KindProfile || record.Change.Name != name {
			continue
		}
		if err := follower.profiles.apply(name, record.Change.Body, record.Revision); err != nil {
			return profileEntry{}, false, err
		}
		current, _ = follower.profiles.lookup(name)
	}
	return current, true, nil
}
