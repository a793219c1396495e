package warmup

import "time"

// Reason says why an engine turned cold or warm at this router.
type Reason string

// The reasons of changes.
const (
	// FirstSeen is a process that was not known before.
	FirstSeen Reason = "first_seen"
	// StatedByEntry and StatedByAnswer are what the engine itself says.
	StatedByEntry  Reason = "entry"
	StatedByAnswer Reason = "answer"
	// ZoneTakenBack is a zone that was evacuated before.
	ZoneTakenBack Reason = "zone_taken_back"
	// FoundDown is a host that refuses connections: the engine that comes back is cold.
	FoundDown Reason = "down"
	// TimePassed is the end of the stated or assumed time.
	TimePassed Reason = "time"
)

// evidence is what is known of the coldness of one process. All times are those of the
// router's steady clock: what is late makes an engine cold for longer, never shorter.
type evidence struct {
	// sequence is that of the last entry, which was received at receivedAt.
	sequence   int64
	receivedAt time.Time
	// coldUntil is the latest end that was stated, counted from when it was received.
	coldUntil time.Time
	// doubtedAt is since when the engine counts as cold for want of recent evidence;
	// zero if it doesn't.
	doubtedAt time.Time
	// needsBaseline is set while the next entry may have been written before the doubt
	// or the last answer. Only one after it certainly was not.
	needsBaseline bool
	reason        Reason
}

// newEvidence returns the evidence of a process that is seen for the first time.
func newEvidence(entry Entry, now time.Time) evidence {
	evidence := evidence{sequence: entry.Sequence, receivedAt: now, doubtedAt: now, reason: FirstSeen}
	if entry.ColdLeft > 0 {
		evidence.coldUntil = now.Add(entry.ColdLeft)
	}
	return evidence
}

// withDoubt returns the evidence after an event that may have made the engine cold.
func (evidence evidence) withDoubt(reason Reason, now time.Time) evidence {
	evidence.doubtedAt, evidence.needsBaseline, evidence.reason = now, true, reason
	return evidence
}

// withAnswer returns the evidence after an answer that stated for how long the engine is
// still cold.
func (evidence evidence) withAnswer(coldLeft, coldPeriod time.Duration, now time.Time) evidence {
	if end := now.Add(coldLeft); coldLeft > 0 && end.After(evidence.coldEnd(coldPeriod)) {
		evidence.coldUntil, evidence.needsBaseline, evidence.reason = end, true, StatedByAnswer
	}
	return evidence
}

// withEntry returns the evidence after an entry. One that was received before changes
// nothing, and one of a restored table can't make the engine warm.
func (evidence evidence) withEntry(entry Entry, coldPeriod time.Duration, now time.Time) evidence {
	if entry.Sequence <= evidence.sequence {
		return evidence
	}
	evidence.sequence, evidence.receivedAt = entry.Sequence, now
	end := now.Add(entry.ColdLeft)
	if entry.Restored || evidence.needsBaseline {
		evidence.needsBaseline = evidence.needsBaseline && entry.Restored
		if entry.ColdLeft > 0 && end.After(evidence.coldUntil) {
			evidence.coldUntil, evidence.reason = end, StatedByEntry
		}
		return evidence
	}
	evidence.coldUntil = earliest(evidence.coldEnd(coldPeriod), now)
	evidence.doubtedAt, evidence.reason = time.Time{}, StatedByEntry
	if entry.ColdLeft > 0 {
		evidence.coldUntil = end
	}
	return evidence
}

// coldEnd returns until when the engine counts as cold.
func (evidence evidence) coldEnd(coldPeriod time.Duration) time.Time {
	end := evidence.coldUntil
	if !evidence.doubtedAt.IsZero() && evidence.doubtedAt.Add(coldPeriod).After(end) {
		end = evidence.doubtedAt.Add(coldPeriod)
	}
	return end
}
