package standin

// The flow of the platform: Table, Objects and VMs give in-process views that
// pass the gate; the HTTP server gives the same views to remote clients, each
// under the name in its ClientHeader; the admin endpoints switch faults.

import (
	"context"
	"maps"
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// PlatformConfig configures NewPlatform.
type PlatformConfig struct {
	// Address is a loopback IP number and port; empty means any free port.
	Address string
	// WritesPerSecond limits the items written by transactions, and the
	// objects written, each; zero means no limit.
	WritesPerSecond int
	// ReadsPerSecond limits the items got and the queries of the table, and
	// the objects read, each; zero means no limit.
	ReadsPerSecond int
	// VMLag is how late changes of the VM list are seen.
	VMLag time.Duration
	// Seed seeds the choice of lost answers.
	Seed uint64
}

// Platform is the users' platform in memory. It implements platform.Platform
// for callers in the process and serves platformpb over HTTP.
type Platform struct {
	table    *Table
	objects  *Objects
	vms      *VMList
	gate     *gate
	endpoint *endpoint
}

var _ platform.Platform = (*Platform)(nil)

// NewPlatform starts a platform.
func NewPlatform(config PlatformConfig) (*Platform, error) {
	standin := &Platform{
		table:   NewTable(),
		objects: NewObjects(),
		vms:     NewVMList(config.VMLag),
		gate:    newGate(config),
	}
	endpoint, err := newEndpoint(config.Address, newPlatformHandler(standin))
	if err != nil {
		return nil, err
	}
	standin.endpoint = endpoint
	return standin, nil
}

// Address returns the IP number and port.
func (standin *Platform) Address() string { return standin.endpoint.address() }

// Close stops the server.
func (standin *Platform) Close() error { return standin.endpoint.close() }

// Silence makes all open connections silent for good; new ones work.
func (standin *Platform) Silence() { standin.endpoint.silence() }

// Table returns the table for a client without a name.
func (standin *Platform) Table() platform.Table { return standin.For("").Table() }

// Objects returns the object store for a client without a name.
func (standin *Platform) Objects() platform.Objects { return standin.For("").Objects() }

// VMs returns the VM list for a client without a name.
func (standin *Platform) VMs() platform.VMList { return standin.For("").VMs() }

// For returns the platform as the named client meets it.
func (standin *Platform) For(client string) platform.Platform {
	return platformView{standin: standin, client: client}
}

// Stored returns the table itself, past rates and faults, for checks.
func (standin *Platform) Stored() *Table { return standin.table }

// VMList returns the VM list for changes.
func (standin *Platform) VMList() *VMList { return standin.vms }

// SetFaults replaces the faults.
func (standin *Platform) SetFaults(faults PlatformFaults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	standin.gate.mutex.Lock()
	defer standin.gate.mutex.Unlock()
	standin.gate.faults = faults
	return nil
}

// Faults returns the faults that are switched on.
func (standin *Platform) Faults() PlatformFaults {
	standin.gate.mutex.Lock()
	defer standin.gate.mutex.Unlock()
	faults := standin.gate.faults
	faults.Partitioned = slices.Clone(faults.Partitioned)
	faults.Services = slices.Clone(faults.Services)
	return faults
}

// Counts returns the counts of calls by kind.
func (standin *Platform) Counts() map[string]CallCounts {
	standin.gate.mutex.Lock()
	defer standin.gate.mutex.Unlock()
	return maps.Clone(standin.gate.counts)
}

// platformView is the platform as one client meets it.
type platformView struct {
	standin *Platform
	client  string
}

func (platformView platformView) Table() platform.Table     { return tableView(platformView) }
func (platformView platformView) Objects() platform.Objects { return objectsView(platformView) }
func (platformView platformView) VMs() platform.VMList      { return vmsView(platformView) }

func (platformView platformView) pass(ctx context.Context, kind callKind, units int, effect func() error) error {
	return platformView.standin.gate.pass(ctx, call{client: platformView.client, kind: kind, units: units}, effect)
}

// read passes a call that returns a value.
func read[Value any](ctx context.Context, view platformView, kind callKind, units int, effect func() (Value, error)) (Value, error) {
	var value Value
	err := view.pass(ctx, kind, units, func() error {
		var err error
		value, err = effect()
		return err
	})
	return value, err
}

type tableView platformView

func (tableView tableView) Transact(ctx context.Context, transaction platform.Transaction) error {
	return platformView(tableView).pass(ctx, callTransact, len(transaction.Writes), func() error {
		return tableView.standin.table.Transact(ctx, transaction)
	})
}

func (tableView tableView) Get(ctx context.Context, keys ...platform.Key) ([]platform.Item, error) {
	return read(ctx, platformView(tableView), callGet, len(keys), func() ([]platform.Item, error) {
		return tableView.standin.table.Get(ctx, keys...)
	})
}

func (tableView tableView) Query(ctx context.Context, query platform.Query) ([]platform.Item, error) {
	return read(ctx, platformView(tableView), callQuery, 1, func() ([]platform.Item, error) {
		return tableView.standin.table.Query(ctx, query)
	})
}

type objectsView platformView

func (objectsView objectsView) Put(ctx context.Context, name string, value []byte) error {
	return platformView(objectsView).pass(ctx, callPutObject, 1, func() error {
		return objectsView.standin.objects.Put(ctx, name, value)
	})
}

func (objectsView objectsView) Get(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, platformView(objectsView), callGetObject, 1, func() ([]byte, error) {
		return objectsView.standin.objects.Get(ctx, name)
	})
}

func (objectsView objectsView) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return read(ctx, platformView(objectsView), callListObjects, 1, func() ([]string, error) {
		return objectsView.standin.objects.List(ctx, prefix, after, limit)
	})
}

func (objectsView objectsView) Delete(ctx context.Context, name string) error {
	return platformView(objectsView).pass(ctx, callDeleteObject, 1, func() error {
		return objectsView.standin.objects.Delete(ctx, name)
	})
}

type vmsView platformView

func (vmsView vmsView) List(ctx context.Context) ([]platform.VM, error) {
	return read(ctx, platformView(vmsView), callListVMs, 1, func() ([]platform.VM, error) {
		return vmsView.standin.vms.List(ctx)
	})
}
