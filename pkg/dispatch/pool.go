package dispatch

import (
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// member is one upstream of a pool with its running work.
type member struct {
	upstream configuration.Upstream
	client   *exchange.Client
	inFlight int
}

// pool holds the upstreams of one service.
type pool struct {
	config  Config
	service string
	mutex   sync.Mutex
	members map[string]*member
}

func newPool(config Config, service string) *pool {
	return &pool{config: config, service: service, members: make(map[string]*member)}
}

// acquire takes the upstream with the least running work.
func (pool *pool) acquire() (*member, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var least *member
	for _, upstream := range pool.config.Upstreams(pool.service) {
		if upstream.Draining || pool.config.Leaving(upstream.Address) {
			continue
		}
		candidate := pool.member(upstream)
		if least == nil || candidate.inFlight < least.inFlight {
			least = candidate
		}
	}
	if least == nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "service " + pool.service + " has no upstream that takes new work",
			Remedy:  "add an upstream, or end the draining of one",
		})
	}
	least.inFlight++
	return least, nil
}

func (pool *pool) member(upstream configuration.Upstream) *member {
	found, ok := pool.members[upstream.Address]
	if !ok {
		config := pool.config.Exchange
		config.Address = upstream.Address
		found = &member{client: exchange.NewClient(config)}
		pool.members[upstream.Address] = found
	}
	found.upstream = upstream
	return found
}

func (pool *pool) releaseMember(member *member) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	member.inFlight--
}

func (pool *pool) pressure() float64 {
	return 0
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, member := range pool.members {
		member.client.Close()
	}
}
