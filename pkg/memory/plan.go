// Package memory divides the memory limit of a process among the parts that grow with
// traffic, and limits what all requests together may hold of a part.
package memory

// DefaultLimit is the limit of a process whose limit isn't stated.
const DefaultLimit = 256 << 20

const (
	// FreeHeaderFields is how many header fields of a message count with their bytes at most.
	FreeHeaderFields = 64
	// HeaderFieldBytes is what a field beyond these takes in the header's table, besides
	// its bytes.
	HeaderFieldBytes = 160
)

const (
	// heapFraction is the fraction of the limit for the Go heap and stacks. The rest is
	// for memory that the Go runtime doesn't manage, and for growth between two
	// collections.
	heapFraction = 0.8
	// Fractions of the limit for what requests hold. They leave more than half of the
	// heap for the state of the router and for garbage.
	requestFraction = 0.125
	answerFraction  = 0.125
	unsentFraction  = 0.0625
	// programBytes is the size of the program's own pages. They are resident and don't
	// belong to the memory of the Go runtime: 18 MB of a file of 33 MB.
	programBytes = 20 << 20
)

// Plan states how much of a process's memory each part may use, in bytes.
type Plan struct {
	// Heap is how much the Go heap and stacks may grow.
	Heap int64
	// Runtime is the limit of the Go runtime, at which it collects garbage more often.
	Runtime int64
	// Requests limits what is read of the requests of all callers.
	Requests int64
	// Answers limits what is held of the answers of all upstreams.
	Answers int64
	// Unsent limits what is written to all callers and not yet sent.
	Unsent int64
}

// NewPlan returns the plan for a process that may use limit bytes; zero or less means
// DefaultLimit.
func NewPlan(limit int64) Plan {
	if limit <= 0 {
		limit = DefaultLimit
	}
	part := func(fraction float64) int64 { return int64(fraction * float64(limit)) }
	return Plan{
		Heap: part(heapFraction), Runtime: max(part(heapFraction)-programBytes, part(heapFraction)/2), Requests: part(requestFraction), Answers: part(answerFraction), Unsent: part(unsentFraction),
	}
}
