package configuration

import (
	"context"
	"encoding/json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// maxProfileReads bounds how often a profile is read again because the view
// moved on by more records than are kept while the table answered.
const maxProfileReads = 3

// Profile returns a profile. One that the router does not hold is read from
// the table and held from then on.
//
// Errors: fault.NotFound if no such profile exists; fault.Unavailable if the
// router does not hold it and the table is out of reach.
func (follower *Follower) Profile(ctx context.Context, name string) (Profile, error) {
	if entry, ok := follower.profiles.lookup(name); ok {
		return entry.result(name)
	}
	read, err, _ := follower.reads.Do(name, func() (any, error) {
		return follower.readProfile(ctx, name)
	})
	if err != nil {
		return Profile{}, err
	}
	return read.(profileEntry).result(name)
}

// result turns an entry into the answer of a lookup.
func (profileEntry profileEntry) result(name string) (Profile, error) {
	if !profileEntry.found {
		return Profile{}, missing("profile/" + name)
	}
	return profileEntry.profile, nil
}

func (follower *Follower) readProfile(ctx context.Context, name string) (profileEntry, error) {
	for range maxProfileReads {
		entry, err := follower.fetchProfile(ctx, name)
		if err != nil {
			return profileEntry{}, err
		}
		held, ok, err := follower.hold(name, entry)
		if err != nil {
			return profileEntry{}, err
		}
		if ok {
			return held, nil
		}
	}
	return profileEntry{}, fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "profile/" + name + " could not be read while the configuration was changing",
		Remedy:  "retry",
	})
}

// fetchProfile reads the profile from the table, or from a peer while the
// table is out of reach.
func (follower *Follower) fetchProfile(ctx context.Context, name string) (profileEntry, error) {
	entry, err := follower.profileFromTable(ctx, name)
	if err == nil || follower.relay == nil || !retryable(err) {
		return entry, err
	}
	copied, relayErr := follower.relay.Profile(ctx, name)
	if relayErr != nil || copied == nil {
		return profileEntry{}, err
	}
	return newProfileEntry(name, copied.Body, copied.DocumentRevision, copied.ConfigurationRevision)
}

// profileFromTable reads head and document in one snapshot.
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

// ProfileCopy is a profile as one router holds it, for another.
type ProfileCopy struct {
	// Body is the JSON of the profile; empty means that it does not exist.
	Body []byte
	// Revision wrote the document.
	DocumentRevision uint64
	// AsOf is the revision of the configuration for which the copy holds.
	ConfigurationRevision uint64
}

// Copy returns a held profile for a peer; nil if the router does not hold it.
func (follower *Follower) CopyProfile(name string) (*ProfileCopy, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	entry, ok := follower.profiles.lookup(name)
	if !ok || !follower.loaded.Load() {
		return nil, nil
	}
	copied := &ProfileCopy{DocumentRevision: entry.revision, ConfigurationRevision: max(entry.asOf, follower.Revision())}
	if !entry.found {
		return copied, nil
	}
	body, err := json.Marshal(entry.profile)
	if err != nil {
		return nil, unreadableDocument(name, err)
	}
	copied.Body = body
	return copied, nil
}

// hold keeps an entry after bringing it up to the view with the records that
// were adopted since it was read. It is false if those are no longer kept.
func (follower *Follower) hold(name string, entry profileEntry) (profileEntry, bool, error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	revision := follower.Revision()
	if entry.asOf < revision && (len(follower.recent) == 0 || follower.recent[0].Revision > entry.asOf+1) {
		return profileEntry{}, false, nil
	}
	held := follower.profiles.add(name, entry)
	for _, record := range follower.recent {
		if record.Change.Kind != KindProfile || record.Change.Name != name {
			continue
		}
		if err := follower.profiles.apply(name, record.Change.Body, record.Revision); err != nil {
			return profileEntry{}, false, err
		}
		held, _ = follower.profiles.lookup(name)
	}
	return held, true, nil
}
