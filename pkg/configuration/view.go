package configuration

import (
	"maps"
	"slices"
	"strings"
)

// View is the configuration at one revision. Its services, upstreams and callers
// are immutable. Its profiles are in a cache that all views of the router share:
// a lookup returns the newest cached version, which is never older than the view.
type View struct {
	revision  uint64
	services  map[string]versionedDocument[Service]
	upstreams map[string]versionedDocument[Upstream]
	callers   map[string]versionedDocument[Caller]
	profiles  *profileCache

	upstreamsByService    map[string][]Upstream
	serviceNameByModel    map[string]string
	callerNameByTokenHash map[string]string
}

// versionedDocument is a document with the revision that last changed it.
type versionedDocument[T any] struct {
	document T
	revision uint64
}

func newView(profiles *profileCache) *View {
	return &View{
		services:              make(map[string]versionedDocument[Service]),
		upstreams:             make(map[string]versionedDocument[Upstream]),
		callers:               make(map[string]versionedDocument[Caller]),
		profiles:              profiles,
		upstreamsByService:    make(map[string][]Upstream),
		serviceNameByModel:    make(map[string]string),
		callerNameByTokenHash: make(map[string]string),
	}
}

// Revision returns the revision of the view; zero before the first change or
// before the configuration is loaded.
func (view *View) Revision() uint64 { return view.revision }

// CachedProfile returns a profile from the cache. It returns false for a profile
// that exists and is not cached; Follower.Profile reads such a profile.
func (view *View) CachedProfile(name string) (Profile, bool) {
	entry, ok := view.profiles.lookup(name)
	if !ok || !entry.exists {
		return Profile{}, false
	}
	return entry.profile, true
}

// Service returns the service with a name, or false if there is none.
func (view *View) Service(name string) (Service, bool) {
	entry, ok := view.services[name]
	return entry.document, ok
}

// Services returns all services, sorted by name.
func (view *View) Services() []Service { return sortedDocuments(view.services) }

// ServiceOfModel returns the service that serves a model, or false if there is
// none.
func (view *View) ServiceOfModel(model string) (Service, bool) {
	name, ok := view.serviceNameByModel[model]
	if !ok {
		return Service{}, false
	}
	return view.Service(name)
}

// Upstreams returns the upstreams of a service, sorted by name. The slice is
// shared and must not be modified.
func (view *View) Upstreams(service string) []Upstream { return view.upstreamsByService[service] }

// AllUpstreams returns the upstreams of all services, sorted by name.
func (view *View) AllUpstreams() []Upstream { return sortedDocuments(view.upstreams) }

// CallerByTokenHash returns the caller with a bearer token, by the token's
// SHA-256 in hexadecimal of any case. It returns false if there is none.
func (view *View) CallerByTokenHash(hash string) (Caller, bool) {
	name, ok := view.callerNameByTokenHash[strings.ToLower(hash)]
	if !ok {
		return Caller{}, false
	}
	entry, ok := view.callers[name]
	return entry.document, ok
}

// Callers returns all callers, sorted by name.
func (view *View) Callers() []Caller { return sortedDocuments(view.callers) }

// DocumentRevision returns the revision that last changed a document, for the
// ExpectedRevision field of the next change; zero if the document does not exist
// or is a profile that is not cached.
func (view *View) DocumentRevision(kind Kind, name string) uint64 {
	switch kind {
	case KindService:
		return view.services[name].revision
	case KindUpstream:
		return view.upstreams[name].revision
	case KindCaller:
		return view.callers[name].revision
	case KindProfile, KindLimit:
		entry, ok := view.profiles.lookup(name)
		if !ok || !entry.exists {
			return 0
		}
		return entry.documentRevision
	default:
		return 0
	}
}

// sortedDocuments returns the documents of a map, sorted by name.
func sortedDocuments[T any](byName map[string]versionedDocument[T]) []T {
	names := slices.Sorted(maps.Keys(byName))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, byName[name].document)
	}
	return list
}
