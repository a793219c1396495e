package configuration

import (
	"maps"
	"slices"
	"strings"
)

// View is the configuration at one revision. Services, upstreams and callers
// are immutable in a view. Profiles are held apart: a lookup gives the newest
// version that the router knows, which is never older than the view.
type View struct {
	revision  uint64
	services  map[string]held[Service]
	upstreams map[string]held[Upstream]
	callers   map[string]held[Caller]
	profiles  *profileCache

	byService map[string][]Upstream
	byModel   map[string]string
	byToken   map[string]string
}

// held is a document with the revision that wrote it.
type held[T any] struct {
	document T
	revision uint64
}

func newView(profiles *profileCache) *View {
	return &View{
		services:  make(map[string]held[Service]),
		upstreams: make(map[string]held[Upstream]),
		callers:   make(map[string]held[Caller]),
		profiles:  profiles,
		byService: make(map[string][]Upstream),
		byModel:   make(map[string]string),
		byToken:   make(map[string]string),
	}
}

// Revision returns the revision of the view; zero before the first change.
func (view *View) Revision() uint64 { return view.revision }

// Profile returns a profile that the router holds. One that it does not hold
// may exist all the same; Follower.Profile reads it.
func (view *View) CachedProfile(name string) (Profile, bool) {
	entry, ok := view.profiles.lookup(name)
	if !ok || !entry.found {
		return Profile{}, false
	}
	return entry.profile, true
}

// Service returns a service.
func (view *View) Service(name string) (Service, bool) {
	found, ok := view.services[name]
	return found.document, ok
}

// Services returns all services, by name.
func (view *View) Services() []Service { return documents(view.services) }

// ServiceOfModel returns the service that serves a model.
func (view *View) ServiceOfModel(model string) (Service, bool) {
	name, ok := view.byModel[model]
	if !ok {
		return Service{}, false
	}
	return view.Service(name)
}

// Upstreams returns the upstreams of a service, by name. The slice is shared
// and must not be changed.
func (view *View) Upstreams(service string) []Upstream { return view.byService[service] }

// AllUpstreams returns the upstreams of all services, by name.
func (view *View) AllUpstreams() []Upstream { return documents(view.upstreams) }

// CallerByTokenHash returns the caller that a token's SHA-256 belongs to, in
// lower-case hexadecimal.
func (view *View) CallerByTokenHash(hash string) (Caller, bool) {
	name, ok := view.byToken[strings.ToLower(hash)]
	if !ok {
		return Caller{}, false
	}
	found, ok := view.callers[name]
	return found.document, ok
}

// Callers returns all callers, by name.
func (view *View) Callers() []Caller { return documents(view.callers) }

// DocumentRevision returns the revision that wrote a document, for the Expected
// field of the next change; zero if the router holds no such document.
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
		if !ok || !entry.found {
			return 0
		}
		return entry.revision
	default:
		return 0
	}
}

// documents returns the documents of a family by name.
func documents[T any](family map[string]held[T]) []T {
	names := slices.Sorted(maps.Keys(family))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, family[name].document)
	}
	return list
}
