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
	entryTimeout    = 2 * time.Second
	minimumLifetime = 50 * time.Millisecond
)

// entryAnswer is the routers' answer to which addresses to use.
type entryAnswer struct {
	Addresses  []string `json:"addresses"`
	LifetimeMS int64    `json:"lifetime_ms"`
}

// entryCache keeps the answer for each profile for its lifetime.
type entryCache struct {
	config Config
	client *http.Client
	group  singleflight.Group

	mutex   sync.Mutex
	answers map[string]cachedEntry
}

type cachedEntry struct {
	addresses []string
	expiresAt time.Time
}

func newEntryCache(config Config, client *http.Client) *entryCache {
	return &entryCache{config: config, client: client, answers: make(map[string]cachedEntry)}
}

// addresses returns the ranked addresses for the team's profile. Without an
// answer of any router it returns the known ones.
func (cache *entryCache) addresses(ctx context.Context, team Team) []string {
	if cached, ok := cache.cached(team.Profile); ok {
		return cached
	}
	value, _, _ := cache.group.Do(team.Profile, func() (any, error) {
		return cache.ask(context.WithoutCancel(ctx), team), nil
	})
	addresses, _ := value.([]string)
	return addresses
}

func (cache *entryCache) cached(profile string) ([]string, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached, ok := cache.answers[profile]
	return cached.addresses, ok && time.Now().Before(cached.expiresAt)
}

// drop forgets the answer for the profile.
func (cache *entryCache) drop(profile string) {
	cache.mutex.Lock()
	delete(cache.answers, profile)
	cache.mutex.Unlock()
}

// ask asks the known addresses one after the other.
func (cache *entryCache) ask(ctx context.Context, team Team) []string {
	for _, address := range cache.known(team.Profile) {
		answer, err := cache.askOne(ctx, address, team)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		lifetime := max(time.Duration(answer.LifetimeMS)*time.Millisecond, minimumLifetime)
		cache.mutex.Lock()
		cache.answers[team.Profile] = cachedEntry{addresses: answer.Addresses, expiresAt: time.Now().Add(lifetime)}
		cache.mutex.Unlock()
		return answer.Addresses
	}
	return cache.config.Entries
}

// known returns the configured addresses, begun at another one for each profile.
func (cache *entryCache) known(profile string) []string {
	entries := slices.Clone(cache.config.Entries)
	start := 0
	for _, letter := range profile {
		start += int(letter)
	}
	start %= len(entries)
	return append(entries[start:], entries[:start]...)
}

func (cache *entryCache) askOne(ctx context.Context, address string, team Team) (entryAnswer, error) {
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
