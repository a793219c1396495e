package standin

import (
	"sync"
	"time"
)

// WeightStore is a store of model weights that all engines load from. Loads
// share its rate: each begins when those before it are done.
type WeightStore struct {
	bytesPerSecond int64
	mutex          sync.Mutex
	freeAt         time.Time
}

// NewWeightStore returns a store with the rate; zero means no limit.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond}
}

// reserve takes the store for a load and returns when the load is done.
func (weightStore *WeightStore) reserve(bytes int64, now time.Time) time.Time {
	if weightStore == nil || weightStore.bytesPerSecond <= 0 {
		return now
	}
	weightStore.mutex.Lock()
	defer weightStore.mutex.Unlock()
	if weightStore.freeAt.Before(now) {
		weightStore.freeAt = now
	}
	seconds := float64(bytes) / float64(weightStore.bytesPerSecond)
	weightStore.freeAt = weightStore.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	return weightStore.freeAt
}
