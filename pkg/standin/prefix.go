package standin

// The prefix cache keeps hashes of prompt blocks. Each block's hash covers all
// blocks before it, so that a run of known hashes is a known prefix. Changes are
// published as events, late and with gaps.

import (
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// BlockTokens is how many prompt tokens a block of the prefix cache holds.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken

	defaultCacheBlocks = 4096
	keptCacheEvents    = 8192
)

// prefixBlocks returns the chained hashes of the prompt's whole blocks.
func prefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var previous [8]byte
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		block := digest.Sum64()
		binary.BigEndian.PutUint64(previous[:], block)
		blocks = append(blocks, block)
	}
	return blocks
}

// CacheEventKind tells what happened to a block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is a published change of the prefix cache.
type CacheEvent struct {
	// Position counts all events from 1; a gap in it is a lost event.
	Position uint64         `json:"position"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the hash of the block in hexadecimal.
	Block string `json:"block"`
}

// CacheEvents is the answer to a read of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheCounts counts prompt tokens by whether the cache held them.
type CacheCounts struct {
	CachedTokens   int64 `json:"cached_tokens"`
	UncachedTokens int64 `json:"uncached_tokens"`
}

type datedCacheEvent struct {
	at    time.Time
	event CacheEvent
}

// prefixCache is guarded by the engine's mutex.
type prefixCache struct {
	blocks   *lru.Cache[uint64, struct{}]
	random   *rand.Rand
	lag      time.Duration
	gapRate  float64
	position uint64
	events   []datedCacheEvent
	counts   CacheCounts
}

func newPrefixCache(config EngineConfig) *prefixCache {
	cache := &prefixCache{
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		lag:     config.CacheEventLag,
		gapRate: config.CacheEventGapRate,
	}
	blocks, err := lru.NewWithEvict(max(config.CacheBlocks, 1), func(block uint64, _ struct{}) {
		cache.publish(CacheRemoved, block)
	})
	if err != nil {
		panic(err)
	}
	cache.blocks = blocks
	return cache
}

// admit returns how many of the prompt's tokens are cached, and caches its
// blocks.
func (prefixCache *prefixCache) admit(attempt *attempt) int {
	known := 0
	for known < len(attempt.blocks) {
		if _, ok := prefixCache.blocks.Get(attempt.blocks[known]); !ok {
			break
		}
		known++
	}
	for _, block := range attempt.blocks[known:] {
		if !prefixCache.blocks.Contains(block) {
			prefixCache.publish(CacheStored, block)
		}
		prefixCache.blocks.Add(block, struct{}{})
	}
	cached := min(known*BlockTokens, attempt.prompt)
	prefixCache.counts.CachedTokens += int64(cached)
	prefixCache.counts.UncachedTokens += int64(attempt.prompt - cached)
	return cached
}

// clear empties the cache, as loading another model does.
func (prefixCache *prefixCache) clear() { prefixCache.blocks.Purge() }

func (prefixCache *prefixCache) publish(kind CacheEventKind, block uint64) {
	prefixCache.position++
	if prefixCache.random.Float64() < prefixCache.gapRate {
		return
	}
	event := CacheEvent{Position: prefixCache.position, Kind: kind, Block: strconv.FormatUint(block, 16)}
	prefixCache.events = append(prefixCache.events, datedCacheEvent{at: time.Now(), event: event})
	if len(prefixCache.events) > keptCacheEvents {
		prefixCache.events = prefixCache.events[len(prefixCache.events)-keptCacheEvents:]
	}
}

// published returns the events behind the position that are old enough.
func (prefixCache *prefixCache) published(after uint64, now time.Time) CacheEvents {
	visible := now.Add(-prefixCache.lag)
	answer := CacheEvents{Events: []CacheEvent{}}
	for _, dated := range prefixCache.events {
		if dated.event.Position > after && !dated.at.After(visible) {
			answer.Events = append(answer.Events, dated.event)
		}
	}
	return answer
}
