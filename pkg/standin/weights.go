package standin

import (
	"sync"
	"time"
)

// WeightStore simulates a store of model weights that several engines load from.
// Loads share its bandwidth: each starts when the previous one is done.
type WeightStore struct {
	bytesPerSecond int64
	mutex          sync.Mutex
	availableAt    time.Time
}

// NewWeightStore returns a store with the bandwidth in bytes per second; zero means
// no limit.
func NewWeightStore(bytesPerSecond int64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond}
}

// reserve schedules a load and returns the time at which it is done. A nil store has
// no limit.
func (weightStore *WeightStore) reserve(bytes int64, now time.Time) time.Time {
	if weightStore == nil || weightStore.bytesPerSecond <= 0 {
		return now
	}
	weightStore.mutex.Lock()
	defer weightStore.mutex.Unlock()
	if weightStore.availableAt.Before(now) {
		weightStore.availableAt = now
	}
	seconds := float64(bytes) / float64(weightStore.bytesPerSecond)
	weightStore.availableAt = weightStore.availableAt.Add(time.Duration(seconds * float64(time.Second)))
	return weightStore.availableAt
}
