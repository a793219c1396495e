package standin

// The flow of the service: a POST runs an order each time it arrives, whatever
// its Idempotency-Key, and counts the run under the key; a GET looks up stock.
// The service refuses no duplicate, so that doubled runs are seen.

import (
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
	// Address is a loopback IP number and port; empty means any free port.
	Address string
	// Delay is how long each call takes.
	Delay time.Duration
	// Capacity is how many calls run at once; zero means eight.
	Capacity int
	// LoadLag is how old load reports are.
	LoadLag time.Duration
}

// ServiceFaults are the faults that are switched on in a service. The zero value
// is none.
type ServiceFaults struct {
	// Refuse answers every call with 503, without running it.
	Refuse bool `json:"refuse"`
	// Hold accepts calls and neither runs nor answers them.
	Hold bool `json:"hold"`
	// DropNext is how many of the next calls run and then break the connection
	// in place of an answer.
	DropNext int `json:"drop_next"`
	// StallNext is how many of the next calls run and are never answered.
	StallNext int `json:"stall_next"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

func (serviceFaults ServiceFaults) validate() error {
	if serviceFaults.DropNext >= 0 && serviceFaults.StallNext >= 0 && serviceFaults.DelayMS >= 0 {
		return nil
	}
	return fault.New(fault.Config{Kind: fault.Invalid, Message: "fault out of range", Remedy: "use no negative numbers"})
}

// ServiceRun is the service's own record of one run of an order.
type ServiceRun struct {
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
	Attempt   string `json:"attempt"`
	// Answered is false when a fault kept the answer back.
	Answered bool `json:"answered"`
}

// ServiceRunList is the answer of /admin/runs of a service.
type ServiceRunList struct {
	Runs []ServiceRun `json:"runs"`
	// Counts counts the runs by Idempotency-Key.
	Counts map[string]int `json:"counts"`
}

// Booking is the answer to an order.
type Booking struct {
	// Run counts the orders that the service ran, from 1.
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Echo is the body of the order.
	Echo string `json:"echo"`
}

// Stock is the answer to a lookup.
type Stock struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// StockOf returns the stock that a lookup of the item finds.
func StockOf(item string) Stock {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(item))
	return Stock{Item: item, Quantity: int(digest.Sum32() % maxStock)}
}

// Service is a plain service: an order desk with a stock list.
type Service struct {
	config   ServiceConfig
	endpoint *endpoint
	slots    chan struct{}

	mutex   sync.Mutex
	faults  ServiceFaults
	runs    []ServiceRun
	lookups int64
	running int
	waiting int
	load    laggedReport
}

// NewService starts a service.
func NewService(config ServiceConfig) (*Service, error) {
	if config.Capacity <= 0 {
		config.Capacity = defaultSlots
	}
	service := &Service{
		config: config,
		slots:  make(chan struct{}, config.Capacity),
		load:   laggedReport{lag: config.LoadLag},
	}
	endpoint, err := newEndpoint(config.Address, service.handler())
	if err != nil {
		return nil, err
	}
	service.endpoint = endpoint
	return service, nil
}

// Name returns the name of the service.
func (service *Service) Name() string { return service.config.Name }

// Address returns the IP number and port.
func (service *Service) Address() string { return service.endpoint.address() }

// Close stops the service; open connections are cut.
func (service *Service) Close() error { return service.endpoint.close() }

// Silence makes all open connections silent for good; new ones work.
func (service *Service) Silence() { service.endpoint.silence() }

// SetFaults replaces the faults.
func (service *Service) SetFaults(faults ServiceFaults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = faults
	return nil
}

// Faults returns the faults that are switched on.
func (service *Service) Faults() ServiceFaults {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.faults
}

// Runs returns the service's own record of all runs.
func (service *Service) Runs() ServiceRunList {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	list := ServiceRunList{Runs: append([]ServiceRun{}, service.runs...), Counts: make(map[string]int)}
	for _, run := range service.runs {
		list.Counts[run.RequestID]++
	}
	return list
}

// Load returns the load report, as late as configured.
func (service *Service) Load() LoadReport {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	truth := LoadReport{Running: service.running, Waiting: service.waiting, Capacity: service.config.Capacity}
	return service.load.read(truth, time.Now())
}

func (service *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", healthy)
	mux.HandleFunc("GET /v1/load", answerWith(service.Load))
	mux.HandleFunc("GET /admin/faults", answerWith(service.Faults))
	mux.HandleFunc("POST /admin/faults", accept(service.SetFaults))
	mux.HandleFunc("POST /admin/silence", trigger(service.Silence))
	mux.HandleFunc("POST /admin/die", trigger(func() { go func() { _ = service.Close() }() }))
	mux.HandleFunc("GET /admin/runs", answerWith(service.Runs))
	mux.HandleFunc("/", service.serve)
	return mux
}

// serve runs an order or looks up stock.
func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	faults := service.Faults()
	if faults.Hold {
		<-request.Context().Done()
		return
	}
	if faults.Refuse {
		writeFault(writer, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "service refuses calls",
			Remedy:  "retry elsewhere",
		}))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		writeFault(writer, fault.New(fault.Config{Kind: fault.Invalid, Message: "body cannot be read", Remedy: "send it whole", Cause: err}))
		return
	}
	if !service.take(request) {
		return
	}
	defer service.release()
	delay := service.config.Delay + time.Duration(faults.DelayMS)*time.Millisecond
	if request.Method == http.MethodGet {
		service.lookup(writer, request, delay)
		return
	}
	service.order(writer, request, string(body), delay)
}

// take waits for a slot; it reports false when the caller is gone.
func (service *Service) take(request *http.Request) bool {
	service.shift(0, 1)
	defer service.shift(0, -1)
	select {
	case service.slots <- struct{}{}:
		service.shift(1, 0)
		return true
	case <-request.Context().Done():
		return false
	}
}

func (service *Service) release() {
	service.shift(-1, 0)
	<-service.slots
}

// shift changes the load.
func (service *Service) shift(running, waiting int) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running += running
	service.waiting += waiting
	truth := LoadReport{Running: service.running, Waiting: service.waiting, Capacity: service.config.Capacity}
	service.load.observe(truth, time.Now())
}

func (service *Service) lookup(writer http.ResponseWriter, request *http.Request, delay time.Duration) {
	if sleep(request.Context(), delay) != nil {
		return
	}
	item := request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
	service.mutex.Lock()
	service.lookups++
	service.mutex.Unlock()
	writeJSON(writer, http.StatusOK, StockOf(item))
}

// order runs an order. The run happens on arrival; the delay comes behind it.
func (service *Service) order(writer http.ResponseWriter, request *http.Request, body string, delay time.Duration) {
	run, faults := service.run(request)
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
	writer.Header().Set(AttemptHeader, request.Header.Get(AttemptHeader))
	writeJSON(writer, http.StatusOK, Booking{
		Run:       run,
		RequestID: request.Header.Get(IdempotencyKeyHeader),
		Path:      request.URL.Path,
		Echo:      body,
	})
}

// run records a run and takes the faults that hit its answer.
func (service *Service) run(request *http.Request) (int, ServiceFaults) {
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
		Run:       len(service.runs) + 1,
		RequestID: request.Header.Get(IdempotencyKeyHeader),
		Attempt:   request.Header.Get(AttemptHeader),
		Answered:  faults.StallNext == 0 && faults.DropNext == 0,
	})
	return len(service.runs), faults
}
