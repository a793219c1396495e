package load

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sync/singleflight"
)

const (
	entryTimeout = 2 * time.Second
	minLifetime  = 50 * time.Millisecond
)

// entryAnswer is a router's answer to /v1/entry: the ranked router addresses and
// the time for which they may be cached.
type entryAnswer struct {
	Addresses  []string `json:"addresses"`
	LifetimeMS int64    `json:"lifetime_ms"`
}

// entryCache caches the answer for each profile for its lifetime.
type entryCache struct {
	config Config
	client *http.Client
	group  singleflight.Group

	mutex   sync.Mutex
	entries map[string]cachedEntry
}

type cachedEntry struct {
	addresses []string
	expiresAt time.Time
}

func newEntryCache(config Config, client *http.Client) *entryCache {
	return &entryCache{config: config, client: client, entries: make(map[string]cachedEntry)}
}

// addresses returns the ranked addresses for the team's profile. If no router
// answers, it returns the configured addresses.
func (cache *entryCache) addresses(ctx context.Context, team Team) []string {
	if cached, ok := cache.lookup(team.Profile); ok {
		return cached
	}
	value, _, _ := cache.group.Do(team.Profile, func() (any, error) {
		return cache.query(context.WithoutCancel(ctx), team), nil
	})
	addresses, _ := value.([]string)
	return addresses
}

func (cache *entryCache) lookup(profile string) ([]string, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached, ok := cache.entries[profile]
	return cached.addresses, ok && time.Now().Before(cached.expiresAt)
}

// drop removes the cached answer for the profile.
func (cache *entryCache) drop(profile string) {
	cache.mutex.Lock()
	delete(cache.entries, profile)
	cache.mutex.Unlock()
}

// query asks the configured routers in turn and caches the first usable answer.
func (cache *entryCache) query(ctx context.Context, team Team) []string {
	for _, address := range cache.rotatedEntries(team.Profile) {
		answer, err := cache.queryRouter(ctx, address, team)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		lifetime := max(time.Duration(answer.LifetimeMS)*time.Millisecond, minLifetime)
		cache.mutex.Lock()
		cache.entries[team.Profile] = cachedEntry{addresses: answer.Addresses, expiresAt: time.Now().Add(lifetime)}
		cache.mutex.Unlock()
		return answer.Addresses
	}
	return cache.config.EntryAddresses
}

// rotatedEntries returns the configured addresses, rotated by a sum over the
// profile name to spread profiles over the routers.
func (cache *entryCache) rotatedEntries(profile string) []string {
	entries := slices.Clone(cache.config.EntryAddresses)
	start := 0
	for _, letter := range profile {
		start += int(letter)
	}
	start %= len(entries)
	return append(entries[start:], entries[:start]...)
}

func (cache *entryCache) queryRouter(ctx context.Context, address string, team Team) (entryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	query := url.Values{"profile": {team.Profile}, "zone": {cache.config.Zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry?"+query.Encode(), nil)
	if err != nil {
		return entryAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+team.Token)
	response, err := cache.client.Do(request)
	if err != nil {
		return entryAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer entryAnswer
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}
