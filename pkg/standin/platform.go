package standin

// Table, Objects and VMs return in-process clients whose calls go through the
// interceptor. The HTTP server gives remote clients the same access, under the
// client name in platform.ClientHeader. Its admin endpoints set the faults.

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/btree"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// PlatformConfig configures NewPlatform.
type PlatformConfig struct {
	// Address is a loopback IP address and port; empty means any free port.
	Address string
	// WritesPerSecond limits the writes in table transactions per second and,
	// separately, the objects stored or deleted per second; zero means no limit.
	WritesPerSecond int
	// ReadsPerSecond limits the table reads per second (each item and each query
	// counts as one) and, separately, the object reads and lists per second; zero
	// means no limit.
	ReadsPerSecond int
	// VMListDelay is the time until readers see a change of the VM list.
	VMListDelay time.Duration
	// Seed seeds the random choice of lost responses.
	Seed uint64
}

// Platform is an in-memory implementation of the platform that the fleet runs on.
// It implements platform.Platform for use within the process and serves platformpb
// over HTTP.
type Platform struct {
	table       *Table
	objects     *Objects
	vms         *VMList
	interceptor *interceptor
	endpoint    *endpoint
	// era is one at the start and rises with each Restore.
	era atomic.Uint64
}

var _ platform.Platform = (*Platform)(nil)

// NewPlatform starts a platform. It returns fault.Invalid if the address isn't a
// loopback address, and fault.Unavailable if it can't listen there.
func NewPlatform(config PlatformConfig) (*Platform, error) {
	standin := &Platform{
		table:       NewTable(),
		objects:     NewObjects(),
		vms:         NewVMList(config.VMListDelay),
		interceptor: newInterceptor(config),
	}
	standin.era.Store(1)
	endpoint, err := newEndpoint(config.Address, newPlatformHandler(standin))
	if err != nil {
		return nil, err
	}
	standin.endpoint = endpoint
	return standin, nil
}

// Address returns the IP address and port.
func (standin *Platform) Address() string { return standin.endpoint.address() }

// Close stops the server and closes all connections.
func (standin *Platform) Close() error { return standin.endpoint.close() }

// BlackholeConnections permanently drops all data on the open connections, in
// both directions and without closing them. New connections work.
func (standin *Platform) BlackholeConnections() { standin.endpoint.blackholeConnections() }

// Table returns access to the table for a client without a name.
func (standin *Platform) Table() platform.Table { return standin.ForClient("").Table() }

// Objects returns access to the object store for a client without a name.
func (standin *Platform) Objects() platform.Objects { return standin.ForClient("").Objects() }

// VMs returns read access to the VM list for a client without a name.
func (standin *Platform) VMs() platform.VMList { return standin.ForClient("").VMs() }

// ForClient returns access to the platform under the client's name, to which
// PlatformFaults.Partitioned refers.
func (standin *Platform) ForClient(client string) platform.Platform {
	return clientView{standin: standin, client: client}
}

// BackingTable returns the table without rate limits and faults, for checks.
func (standin *Platform) BackingTable() *Table { return standin.table }

// PlatformCopy is the state of a Platform's table and objects at one moment.
type PlatformCopy struct {
	table   tableCopy
	objects *btree.BTreeG[object]
}

// Copy returns the current state of the table and the objects.
func (standin *Platform) Copy() PlatformCopy {
	return PlatformCopy{table: standin.table.copy(), objects: standin.objects.copy()}
}

// Restore begins the next era with the state of an earlier one: it undoes all later
// writes and gives their versions out again. Responses over HTTP state the era.
func (standin *Platform) Restore(earlier PlatformCopy) {
	standin.era.Add(1)
	standin.table.restore(earlier.table)
	standin.objects.restore(earlier.objects)
}

// VMList returns the VM list, for changing it.
func (standin *Platform) VMList() *VMList { return standin.vms }

// SetFaults replaces the injected faults. It returns fault.Invalid if a value is
// out of range.
func (standin *Platform) SetFaults(faults PlatformFaults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	standin.interceptor.mutex.Lock()
	defer standin.interceptor.mutex.Unlock()
	standin.interceptor.faults = faults
	return nil
}

// Faults returns the faults that the platform currently injects.
func (standin *Platform) Faults() PlatformFaults {
	standin.interceptor.mutex.Lock()
	defer standin.interceptor.mutex.Unlock()
	faults := standin.interceptor.faults
	faults.Partitioned = slices.Clone(faults.Partitioned)
	faults.Services = slices.Clone(faults.Services)
	return faults
}

// Counts returns the call counts by the name of the call kind.
func (standin *Platform) Counts() map[string]CallCounts {
	standin.interceptor.mutex.Lock()
	defer standin.interceptor.mutex.Unlock()
	return maps.Clone(standin.interceptor.counts)
}

// clientView is one client's access to the platform, through the interceptor.
type clientView struct {
	standin *Platform
	client  string
}

func (clientView clientView) Table() platform.Table     { return tableView(clientView) }
func (clientView clientView) Objects() platform.Objects { return objectsView(clientView) }
func (clientView clientView) VMs() platform.VMList      { return vmsView(clientView) }

func (clientView clientView) intercept(ctx context.Context, kind callKind, units int, operation func() error) error {
	return clientView.standin.interceptor.intercept(ctx, call{client: clientView.client, kind: kind, units: units}, operation)
}

// interceptRead intercepts a call whose operation returns a value.
func interceptRead[Value any](ctx context.Context, clientView clientView, kind callKind, units int, operation func() (Value, error)) (Value, error) {
	var value Value
	err := clientView.intercept(ctx, kind, units, func() error {
		var err error
		value, err = operation()
		return err
	})
	return value, err
}

type tableView clientView

func (tableView tableView) Transact(ctx context.Context, transaction platform.Transaction) error {
	return clientView(tableView).intercept(ctx, callTransact, len(transaction.Writes), func() error {
		return tableView.standin.table.Transact(ctx, transaction)
	})
}

func (tableView tableView) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	return interceptRead(ctx, clientView(tableView), callGet, len(keys), func() ([]platform.Item, error) {
		return tableView.standin.table.Get(ctx, keys...)
	})
}

func (tableView tableView) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	return interceptRead(ctx, clientView(tableView), callQuery, 1, func() ([]platform.Item, error) {
		return tableView.standin.table.Query(ctx, query)
	})
}

type objectsView clientView

func (objectsView objectsView) Put(ctx context.Context, name string, value []byte) error {
	return clientView(objectsView).intercept(ctx, callPutObject, 1, func() error {
		return objectsView.standin.objects.Put(ctx, name, value)
	})
}

func (objectsView objectsView) Get(ctx context.Context, name string) ([]byte, error) {
	return interceptRead(ctx, clientView(objectsView), callGetObject, 1, func() ([]byte, error) {
		return objectsView.standin.objects.Get(ctx, name)
	})
}

func (objectsView objectsView) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return interceptRead(ctx, clientView(objectsView), callListObjects, 1, func() ([]string, error) {
		return objectsView.standin.objects.List(ctx, prefix, after, limit)
	})
}

func (objectsView objectsView) Delete(ctx context.Context, name string) error {
	return clientView(objectsView).intercept(ctx, callDeleteObject, 1, func() error {
		return objectsView.standin.objects.Delete(ctx, name)
	})
}

type vmsView clientView

func (vmsView vmsView) List(ctx context.Context) ([]platform.VM, error) {
	return interceptRead(ctx, clientView(vmsView), callListVMs, 1, func() ([]platform.VM, error) {
		return vmsView.standin.vms.List(ctx)
	})
}
