package standin

// The prefix cache stores the hashes of prompt blocks. The hash of a block also
// covers all blocks before it, so two prompts share a hash only if they share the
// prefix up to the end of that block. Changes are published as events, which may be
// delayed or lost.

import (
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// BlockTokens is the number of prompt tokens in a block of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken

	defaultCacheBlocks = 4096
	maxCacheEvents     = 8192
)

// blockHashes returns the chained hashes of the prompt's complete blocks.
func blockHashes(prompt string) []uint64 {
	blockHashes := make([]uint64, 0, len(prompt)/blockBytes)
	var previousHash [8]byte
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(previousHash[:])
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		blockHash := digest.Sum64()
		binary.BigEndian.PutUint64(previousHash[:], blockHash)
		blockHashes = append(blockHashes, blockHash)
	}
	return blockHashes
}

// CacheEventKind is the kind of change of a block in the prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	// Position numbers all events from 1; a missing number is a lost event.
	Position uint64         `json:"position"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the chained hash of the block in hexadecimal.
	Block string `json:"block"`
}

// CacheEvents is the response to a request for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheCounts counts prompt tokens by whether they were in the prefix cache.
type CacheCounts struct {
	CachedTokens   int64 `json:"cached_tokens"`
	UncachedTokens int64 `json:"uncached_tokens"`
}

type recordedCacheEvent struct {
	recordedAt time.Time
	event      CacheEvent
}

// prefixCache is the prefix cache of an engine, guarded by the engine's mutex.
type prefixCache struct {
	blocks        *lru.Cache[uint64, struct{}]
	random        *rand.Rand
	eventDelay    time.Duration
	eventLossRate float64
	lastPosition  uint64
	events        []recordedCacheEvent
	counts        CacheCounts
}

func newPrefixCache(config EngineConfig) *prefixCache {
	cache := &prefixCache{
		random:        rand.New(rand.NewPCG(config.Seed, config.Seed)),
		eventDelay:    config.CacheEventDelay,
		eventLossRate: config.CacheEventLossRate,
	}
	blocks, err := lru.NewWithEvict(max(config.CacheBlocks, 1), func(block uint64, _ struct{}) {
		cache.recordEvent(CacheRemoved, block)
	})
	if err != nil {
		panic(err)
	}
	cache.blocks = blocks
	return cache
}

// add stores the blocks of the attempt's prompt in the cache. It returns the number
// of prompt tokens that were already cached.
func (prefixCache *prefixCache) add(attempt *attempt) int {
	cachedBlocks := 0
	for cachedBlocks < len(attempt.blockHashes) {
		if _, ok := prefixCache.blocks.Get(attempt.blockHashes[cachedBlocks]); !ok {
			break
		}
		cachedBlocks++
	}
	for _, block := range attempt.blockHashes[cachedBlocks:] {
		if !prefixCache.blocks.Contains(block) {
			prefixCache.recordEvent(CacheStored, block)
		}
		prefixCache.blocks.Add(block, struct{}{})
	}
	cached := min(cachedBlocks*BlockTokens, attempt.promptTokens)
	prefixCache.counts.CachedTokens += int64(cached)
	prefixCache.counts.UncachedTokens += int64(attempt.promptTokens - cached)
	return cached
}

// clear empties the cache, as when another model is loaded.
func (prefixCache *prefixCache) clear() { prefixCache.blocks.Purge() }

func (prefixCache *prefixCache) recordEvent(kind CacheEventKind, block uint64) {
	prefixCache.lastPosition++
	if prefixCache.random.Float64() < prefixCache.eventLossRate {
		return
	}
	event := CacheEvent{Position: prefixCache.lastPosition, Kind: kind, Block: strconv.FormatUint(block, 16)}
	prefixCache.events = append(prefixCache.events, recordedCacheEvent{recordedAt: time.Now(), event: event})
	if len(prefixCache.events) > maxCacheEvents {
		prefixCache.events = prefixCache.events[len(prefixCache.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after the position that were recorded at least
// eventDelay ago.
func (prefixCache *prefixCache) eventsAfter(after uint64, now time.Time) CacheEvents {
	newestVisible := now.Add(-prefixCache.eventDelay)
	visibleEvents := CacheEvents{Events: []CacheEvent{}}
	for _, recorded := range prefixCache.events {
		if recorded.event.Position > after && !recorded.recordedAt.After(newestVisible) {
			visibleEvents.Events = append(visibleEvents.Events, recorded.event)
		}
	}
	return visibleEvents
}
