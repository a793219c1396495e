package standin

// A GET looks up stock; any other request runs an order and records the run under
// its Idempotency-Key. The service deliberately does not deduplicate by key, so
// that checks can detect requests that were run twice.

import (
	"cmp"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const maxStock = 500

// ServiceConfig configures NewService.
type ServiceConfig struct {
	Name string
	// Address is a loopback IP address and port; empty means any free port.
	Address string
	// Delay is the duration of each call.
	Delay time.Duration
	// Capacity is the maximum number of calls that run at once; zero means eight.
	Capacity int
	// LoadReportDelay is the age of the load that a load report shows.
	LoadReportDelay time.Duration
}

// ServiceFaults defines the faults that a service injects. The zero value injects
// none.
type ServiceFaults struct {
	// Refuse responds to every call with status 503, without running it.
	Refuse bool `json:"refuse"`
	// RetryAfter is the Retry-After header of these responses; empty means none.
	RetryAfter string `json:"retry_after,omitempty"`
	// Leaving states in each response to a call that the service is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Hold accepts calls but neither runs them nor responds.
	Hold bool `json:"hold"`
	// DropNext is the number of upcoming orders that run but close the connection
	// without a response.
	DropNext int `json:"drop_next"`
	// StallNext is the number of upcoming orders that run but never get a
	// response.
	StallNext int `json:"stall_next"`
	// DelayMS is added to the duration of each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Status is the status of the responses to orders, which run; zero means 200.
	Status int `json:"status,omitempty"`
}

func (serviceFaults ServiceFaults) validate() error {
	if serviceFaults.DropNext >= 0 && serviceFaults.StallNext >= 0 && serviceFaults.DelayMS >= 0 {
		return nil
	}
	return fault.New(fault.Config{Kind: fault.Invalid, Message: "fault out of range", Remedy: "use no negative numbers"})
}

// ServiceRun is the service's internal record of one run of an order.
type ServiceRun struct {
	Number    int    `json:"run"`
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt"`
	// Answered is false if a fault suppressed the response.
	Answered bool `json:"answered"`
}

// ServiceRunList is the response of a service's /admin/runs.
type ServiceRunList struct {
	Runs []ServiceRun `json:"runs"`
	// Counts is the number of runs by Idempotency-Key.
	Counts map[string]int `json:"counts"`
}

// Booking is the response to an order.
type Booking struct {
	// RunNumber numbers the orders that the service ran, from 1.
	RunNumber int    `json:"run"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Echo is the body of the order.
	Echo string `json:"echo"`
}

// Stock is the response to a stock lookup.
type Stock struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// StockOf returns the response to a lookup of the item, which depends only on the
// item's name.
func StockOf(item string) Stock {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(item))
	return Stock{Item: item, Quantity: int(digest.Sum32() % maxStock)}
}

// Service is a plain (non-model) service that accepts orders and looks up stock.
type Service struct {
	config   ServiceConfig
	endpoint *endpoint
	slots    chan struct{}

	mutex       sync.Mutex
	faults      ServiceFaults
	runs        []ServiceRun
	lookups     int64
	running     int
	waiting     int
	loadHistory loadHistory
}

// NewService starts a service. It returns fault.Invalid if the address isn't a
// loopback address, and fault.Unavailable if it can't listen there.
func NewService(config ServiceConfig) (*Service, error) {
	if config.Capacity <= 0 {
		config.Capacity = defaultSlots
	}
	service := &Service{
		config:      config,
		slots:       make(chan struct{}, config.Capacity),
		loadHistory: loadHistory{delay: config.LoadReportDelay},
	}
	endpoint, err := newEndpoint(config.Address, service.handler())
	if err != nil {
		return nil, err
	}
	service.endpoint = endpoint
	return service, nil
}

// Name returns the configured name of the service.
func (service *Service) Name() string { return service.config.Name }

// Address returns the IP address and port.
func (service *Service) Address() string { return service.endpoint.address() }

// Close stops the service and closes all connections.
func (service *Service) Close() error { return service.endpoint.close() }

// BlackholeConnections permanently drops all data on the open connections, in
// both directions and without closing them. New connections work.
func (service *Service) BlackholeConnections() { service.endpoint.blackholeConnections() }

// SetFaults replaces the injected faults. It returns fault.Invalid if a value is
// negative.
func (service *Service) SetFaults(faults ServiceFaults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = faults
	return nil
}

// Faults returns the faults that the service currently injects.
func (service *Service) Faults() ServiceFaults {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.faults
}

// Runs returns the internal records of all runs, and their counts by
// Idempotency-Key.
func (service *Service) Runs() ServiceRunList {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	runList := ServiceRunList{Runs: append([]ServiceRun{}, service.runs...), Counts: make(map[string]int)}
	for _, run := range service.runs {
		runList.Counts[run.RequestID]++
	}
	return runList
}

// Load returns the load report, delayed by LoadReportDelay.
func (service *Service) Load() LoadReport {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	current := LoadReport{Running: service.running, Waiting: service.waiting, Capacity: service.config.Capacity}
	return service.loadHistory.delayedReport(current, time.Now())
}

func (service *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /v1/load", serveJSON(service.Load))
	mux.HandleFunc("GET /admin/faults", serveJSON(service.Faults))
	mux.HandleFunc("POST /admin/faults", acceptJSON(service.SetFaults))
	mux.HandleFunc("POST /admin/silence", runAction(service.BlackholeConnections))
	mux.HandleFunc("POST /admin/die", runAction(func() { go func() { _ = service.Close() }() }))
	mux.HandleFunc("GET /admin/runs", serveJSON(service.Runs))
	mux.HandleFunc("/", service.serve)
	return mux
}

// serve runs an order or looks up stock.
func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(AttemptHeader, request.Header.Get(AttemptHeader))
	faults := service.Faults()
	if faults.Hold {
		<-request.Context().Done()
		return
	}
	setLeaving(writer, faults.Leaving)
	if faults.Refuse {
		setRetryAfter(writer, faults.RetryAfter)
		writeFault(writer, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "service refuses calls",
			Remedy:  "retry at another upstream",
		}))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writeFault(writer, fault.New(fault.Config{Kind: fault.Invalid, Message: "body cannot be read", Remedy: "send the complete body", Cause: err}))
		return
	}
	if !service.acquireSlot(request) {
		return
	}
	defer service.releaseSlot()
	delay := service.config.Delay + time.Duration(faults.DelayMS)*time.Millisecond
	if request.Method == http.MethodGet {
		service.serveLookup(writer, request, delay)
		return
	}
	service.serveOrder(writer, request, string(body), delay)
}

// acquireSlot waits for a slot. It returns false if the caller disconnects first.
func (service *Service) acquireSlot(request *http.Request) bool {
	service.adjustLoad(0, 1)
	defer service.adjustLoad(0, -1)
	select {
	case service.slots <- struct{}{}:
		service.adjustLoad(1, 0)
		return true
	case <-request.Context().Done():
		return false
	}
}

func (service *Service) releaseSlot() {
	service.adjustLoad(-1, 0)
	<-service.slots
}

// adjustLoad adds to the numbers of running and waiting calls and samples the load.
func (service *Service) adjustLoad(runningDelta, waitingDelta int) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running += runningDelta
	service.waiting += waitingDelta
	current := LoadReport{Running: service.running, Waiting: service.waiting, Capacity: service.config.Capacity}
	service.loadHistory.addSample(current, time.Now())
}

func (service *Service) serveLookup(writer http.ResponseWriter, request *http.Request, delay time.Duration) {
	if sleep(request.Context(), delay) != nil {
		return
	}
	item := request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
	service.mutex.Lock()
	service.lookups++
	service.mutex.Unlock()
	writeJSON(writer, http.StatusOK, StockOf(item))
}

// serveOrder records the run of an order, waits for the delay and responds. The run
// is recorded before the delay, so an order counts as run even if its caller
// disconnects.
func (service *Service) serveOrder(writer http.ResponseWriter, request *http.Request, body string, delay time.Duration) {
	runNumber, faults := service.recordRun(request)
	if faults.StallNext > 0 {
		<-request.Context().Done()
		return
	}
	if faults.DropNext > 0 {
		panic(http.ErrAbortHandler)
	}
	if sleep(request.Context(), delay) != nil {
		return
	}
	writeJSON(writer, cmp.Or(faults.Status, http.StatusOK), Booking{
		RunNumber: runNumber,
		RequestID: request.Header.Get(IdempotencyKeyHeader),
		Path:      request.URL.Path,
		Echo:      body,
	})
}

// recordRun records a run and returns its number and the faults that apply to its
// response. StallNext takes precedence over DropNext.
func (service *Service) recordRun(request *http.Request) (int, ServiceFaults) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	faults := service.faults
	switch {
	case faults.StallNext > 0:
		service.faults.StallNext--
	case faults.DropNext > 0:
		service.faults.DropNext--
	}
	service.runs = append(service.runs, ServiceRun{
		Number:    len(service.runs) + 1,
		RequestID: request.Header.Get(IdempotencyKeyHeader),
		AttemptID: request.Header.Get(AttemptHeader),
		Answered:  faults.StallNext == 0 && faults.DropNext == 0,
	})
	return len(service.runs), faults
}
