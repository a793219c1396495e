package locality

import (
	"math"
	"time"
)

// maxStableUse is the share of slots in use up to which a queue is taken for stable.
const maxStableUse = 0.95

// QueueWait returns the expected wait for a free slot at upstreams with the mean number
// of slots of which the share use is in use, where a request takes a slot for the time
// hold. Use above 1 means that requests wait. It is Sakasegawa's approximation for a
// queue with several servers, as each upstream has a queue of its own.
func QueueWait(use, slots float64, hold time.Duration) time.Duration {
	slots = max(slots, 1)
	stable := min(max(use, 0), maxStableUse)
	factor := math.Pow(stable, math.Sqrt(2*(slots+1))-1) / (slots * (1 - stable))
	return time.Duration((factor + max(use-1, 0)) * float64(hold))
}
