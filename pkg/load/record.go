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

// Record is the upstreams' own record of what ran.
type Record struct {
	// Runs are the attempts of all engines.
	Runs []standin.Run
	// Orders are the runs of all plain services.
	Orders []standin.ServiceRun
}

// index finds the runs of a request.
type index struct {
	runs   map[string][]standin.Run
	orders map[string]int
}

func newIndex(record Record) index {
	index := index{runs: make(map[string][]standin.Run), orders: make(map[string]int)}
	for _, run := range record.Runs {
		if !run.StartedAt.IsZero() {
			index.runs[run.PromptHash] = append(index.runs[run.PromptHash], run)
		}
	}
	for _, order := range record.Orders {
		index.orders[order.RequestID]++
	}
	return index
}

// of returns how often the request ran. Lookups leave no record.
func (index index) of(result Result) int {
	if kinds[result.Request.Kind].model {
		return len(index.runs[result.Request.PromptHash()])
	}
	return index.orders[result.Key]
}

// PromptHash returns the hash under which engines record the prompt.
func (request Request) PromptHash() string {
	return strconv.FormatUint(xxhash.Sum64String(standin.PromptOf(request.Messages)), 16)
}

// RemoteRecorder reads the record from the stand-ins' admin endpoints.
type RemoteRecorder struct {
	// Engines and Services are addresses of stand-ins.
	Engines  []string
	Services []string
}

var _ Recorder = RemoteRecorder{}

// Record reads the record. Its error is fault.Unavailable.
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
		return list, noRecord(address, err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, noRecord(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return list, noRecord(address, err)
	}
	return list, nil
}

func noRecord(address string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "cannot read the record of " + address + ": " + err.Error(),
		Remedy:  "check that the stand-in runs",
		Cause:   err,
	})
}

// LocalRecorder reads the record of stand-ins in the same process, also of those
// that were closed.
type LocalRecorder struct {
	Engines  []*standin.Engine
	Services []*standin.Service
}

var _ Recorder = LocalRecorder{}

// Record reads the record. It never fails.
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
