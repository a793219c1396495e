package load

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const recordTimeout = 10 * time.Second

// Record holds the requests that ran according to the upstreams.
type Record struct {
	// Runs are the attempts received by all engines.
	Runs []standin.RunRecord
	// Orders are the runs on all plain services.
	Orders []standin.ServiceRun
}

// runIndex finds the runs of a request.
type runIndex struct {
	runs   map[string][]standin.RunRecord
	orders map[string]int
}

func newRunIndex(record Record) runIndex {
	runIndex := runIndex{runs: make(map[string][]standin.RunRecord), orders: make(map[string]int)}
	for _, run := range record.Runs {
		if !run.StartedAt.IsZero() {
			runIndex.runs[run.PromptHash] = append(runIndex.runs[run.PromptHash], run)
		}
	}
	for _, order := range record.Orders {
		runIndex.orders[order.RequestID]++
	}
	return runIndex
}

// runCount returns the number of times the request ran. Lookups are not recorded
// and always count as 0.
func (runIndex runIndex) runCount(result Result) int {
	if kindTable[result.Request.Kind].isCompletion {
		return len(runIndex.runs[result.Request.PromptHash()])
	}
	return runIndex.orders[result.Key]
}

// PromptHash returns the hexadecimal xxHash64 of the prompt, by which engines
// record it.
func (request Request) PromptHash() string {
	return strconv.FormatUint(xxhash.Sum64String(standin.PromptOf(request.Messages)), 16)
}

// RemoteRecorder reads the run records from the stand-ins' admin endpoints.
type RemoteRecorder struct {
	// Engines and Services are the addresses of the stand-ins.
	Engines  []string
	Services []string
}

var _ Recorder = RemoteRecorder{}

// Record reads the records. It returns fault.Unavailable if one cannot be read.
func (recorder RemoteRecorder) Record(ctx context.Context) (Record, error) {
	var record Record
	for _, address := range recorder.Engines {
		list, err := readRuns[standin.RunList](ctx, address)
		if err != nil {
			return Record{}, err
		}
		record.Runs = append(record.Runs, list.Runs...)
	}
	for _, address := range recorder.Services {
		list, err := readRuns[standin.ServiceRunList](ctx, address)
		if err != nil {
			return Record{}, err
		}
		record.Orders = append(record.Orders, list.Runs...)
	}
	return record, nil
}

func readRuns[List any](ctx context.Context, address string) (List, error) {
	var list List
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/runs", nil)
	if err != nil {
		return list, recordError(address, err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, recordError(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return list, recordError(address, err)
	}
	return list, nil
}

func recordError(address string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "cannot read the run record of " + address + ": " + err.Error(),
		Remedy:  "check that the stand-in runs",
		Cause:   err,
	})
}

// LocalRecorder reads the run records of stand-ins in the same process, including
// closed ones.
type LocalRecorder struct {
	Engines  []*standin.Engine
	Services []*standin.Service
}

var _ Recorder = LocalRecorder{}

// Record returns the records. Its error is always nil.
func (recorder LocalRecorder) Record(context.Context) (Record, error) {
	var record Record
	for _, engine := range recorder.Engines {
		record.Runs = append(record.Runs, engine.Runs()...)
	}
	for _, service := range recorder.Services {
		record.Orders = append(record.Orders, service.Runs().Runs...)
	}
	return record, nil
}
