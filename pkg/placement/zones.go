package placement

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/locality"
)

// unknownWaitAge is the age of the wait in a zone without any report.
const unknownWaitAge = time.Hour

// leaving is the state of the decision to send requests to other zones.
type leaving struct {
	gate      *locality.Gate
	meanBytes float64
	requests  int
	traffic   map[locality.Reason]LeavingTraffic
}

// LeavingTraffic is what was sent to other zones.
type LeavingTraffic struct {
	Requests, Bytes int64
}

// decideZone returns the zone to which the request goes.
func (pool *Pool) decideZone(candidates []*member, criteria Criteria, now time.Time) locality.Decision {
	leaving := &pool.paced.leaving
	if leaving.gate == nil {
		leaving.gate = locality.NewGate(pool.config.Locality)
	}
	leaving.requests++
	leaving.meanBytes += max(meanTimeWeight, 1/float64(leaving.requests)) * (float64(criteria.Bytes) - leaving.meanBytes)
	if len(criteria.ExcludedIDs) == 0 && criteria.AllowedIDs == nil { // otherwise the candidates aren't all upstreams
		pool.updateGate(candidates, criteria.Zone, now)
	}
	request := locality.Request{Bytes: criteria.Bytes}
	return leaving.gate.Decide(request, leaving.meanBytes, pool.config.Random.Float64())
}

// updateGate adjusts the shares that leave to the waits at the candidates.
func (pool *Pool) updateGate(candidates []*member, homeZone string, now time.Time) {
	view := locality.View{MeanBytes: pool.paced.leaving.meanBytes}
	for _, wait := range pool.zoneWaits(candidates, now) {
		if wait.Zone == homeZone {
			view.Home = &wait
		} else {
			view.Others = append(view.Others, wait)
		}
	}
	for _, change := range pool.paced.leaving.gate.Update(view, now) {
		if pool.config.OnZoneChange != nil {
			pool.config.OnZoneChange(change)
		}
	}
}

// zoneWaits returns the expected waits in the zones of the candidates.
func (pool *Pool) zoneWaits(candidates []*member, now time.Time) []locality.Wait {
	type sums struct{ capacity, slots, count float64 }
	var zones []string
	byZone := make(map[string]*sums)
	for _, candidate := range candidates {
		zone, ok := byZone[candidate.Zone]
		if !ok {
			zone = &sums{}
			byZone[candidate.Zone] = zone
			zones = append(zones, candidate.Zone)
		}
		zone.capacity += candidate.capacity(now)
		zone.slots += candidate.slots()
		zone.count++
	}
	waits := make([]locality.Wait, 0, len(zones))
	for _, name := range zones {
		zone, age := byZone[name], unknownWaitAge
		if zoneUse, ok := pool.paced.uses[name]; ok {
			age = max(now.Sub(zoneUse.updatedAt), 0)
		}
		speed := zone.capacity / max(zone.slots, zone.count)
		hold := time.Duration(pool.paced.holdMs / speed * float64(time.Millisecond))
		waits = append(waits, locality.Wait{
			Zone: name, Age: age, Capacity: zone.capacity, Expected: locality.QueueWait(pool.meanUse(name), zone.slots/zone.count, hold),
		})
	}
	return waits
}

// countArrival counts a request that is sent to an upstream. Other pools than those whose
// upstreams state their pace count nothing.
func (pool *Pool) countArrival(member *member, criteria Criteria, estimate costEstimate) {
	if estimate.pace == 0 {
		return
	}
	member.share.arrivals++
	if estimate.leaveReason != locality.None {
		pool.countLeaving(estimate.leaveReason, criteria.Bytes)
	}
}

func (pool *Pool) countLeaving(reason locality.Reason, bytes int64) {
	leaving := &pool.paced.leaving
	if leaving.traffic == nil {
		leaving.traffic = make(map[locality.Reason]LeavingTraffic)
	}
	traffic := leaving.traffic[reason]
	traffic.Requests++
	traffic.Bytes += bytes
	leaving.traffic[reason] = traffic
}

// LeavingTraffic returns what was sent to other zones, by reason. Only pools whose
// upstreams state their pace count it.
func (pool *Pool) LeavingTraffic() map[locality.Reason]LeavingTraffic {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	traffic := make(map[locality.Reason]LeavingTraffic, len(pool.paced.leaving.traffic))
	for reason, counted := range pool.paced.leaving.traffic {
		traffic[reason] = counted
	}
	return traffic
}
