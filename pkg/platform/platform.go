// Package platform defines the services of the users' platform that the router
// fleet needs: a transactional table, an object store and a list of VMs.
//
// The kind of an error states whether a call was applied. With fault.Conflict a
// condition failed and nothing was applied. With fault.Overloaded the platform
// refused the call because of its rate limit and nothing was applied. With
// fault.Invalid and fault.NotFound the call can't succeed unchanged. With
// fault.Unavailable the call may or may not have been applied, so the caller has
// to read the stored state before it relies on either.
//
// The flow: Dial returns a Client of the platform's protocol (client.go); its
// services send one message for each call (services.go, codec.go); a Retrier
// repeats attempts that read, decide and write (retry.go).
package platform

import (
	"context"
	"time"
)

// Key identifies an item of the table.
type Key struct {
	// Partition groups items that are queried together.
	Partition string
	// Sort is the sort key; items of one partition are ordered by its bytes.
	Sort string
}

// Item is a stored value. An item that does not exist has Version 0.
type Item struct {
	Key   Key
	Value []byte
	// Version is set by the table at each write of the item. It increases and
	// never repeats for a key, even if the item is deleted and created again.
	Version uint64
}

// ConditionKind is the kind of a Condition.
type ConditionKind int

// The kinds of conditions.
const (
	// Always has no requirement.
	Always ConditionKind = iota
	// IfAbsent requires that the item does not exist.
	IfAbsent
	// IfVersion requires that the item has the version of the condition.
	IfVersion
)

// Condition is a requirement on the stored item of a write.
type Condition struct {
	Kind ConditionKind
	// Version is the required version if Kind is IfVersion.
	Version uint64
}

// Action is the operation of a write, executed if all conditions of its
// transaction hold.
type Action int

// The actions of a write.
const (
	// Put stores the value.
	Put Action = iota
	// Delete removes the item.
	Delete
	// Check only checks the condition and changes nothing.
	Check
)

// Write is one conditional operation of a transaction.
type Write struct {
	Key       Key
	Action    Action
	Value     []byte
	Condition Condition
}

// Transaction is a set of writes that are applied together or not at all. Each key
// must occur only once.
type Transaction struct {
	Writes []Write
}

// MaxTransactionWrites is the maximum number of writes of one transaction.
const MaxTransactionWrites = 100

// Query selects items of one partition in the order of their sort keys.
type Query struct {
	Partition string
	// After is the sort key after which the items begin; empty means the first.
	After string
	// Prefix restricts the sort keys; empty means all.
	Prefix string
	// Limit is the maximum number of items; zero means DefaultQueryLimit.
	Limit int
}

// DefaultQueryLimit is the maximum number of items of a query without Limit.
const DefaultQueryLimit = 1000

// Table is the transactional table service. It is linearizable.
type Table interface {
	// Transact applies all writes or none.
	Transact(ctx context.Context, transaction Transaction) error
	// Get reads items in one consistent snapshot, in the order of the keys.
	Get(ctx context.Context, keys ...Key) ([]Item, error)
	// Query reads items of one partition in one consistent snapshot.
	Query(ctx context.Context, query Query) ([]Item, error)
}

// Receipt has the version and the time of an applied call. That of a call that the
// table refused has only the Era; without an answer it is empty.
type Receipt struct {
	// Era counts how often the table has come back from an older copy, which undoes
	// the writes after that copy. Versions are comparable only within one era; zero
	// means that the table doesn't state it.
	Era uint64
	// Version is the version of the rows that a commit wrote, or the latest version
	// of the table at a read.
	Version uint64
	// Now is the reading of the platform's monotonic clock at the call.
	Now time.Duration
}

// ConflictError is the cause of a fault.Conflict of VersionedTable.Commit.
type ConflictError struct {
	// Items are the current items of the keys with conditions, without those that
	// do not exist.
	Items []Item
}

// Error returns a message that does not depend on the items.
func (*ConflictError) Error() string { return "a condition on an item failed" }

// VersionedTable is a table whose responses include versions and the time of its
// monotonic clock. Errors are those of Table.
type VersionedTable interface {
	// Commit applies all writes or none. A failed condition has a ConflictError
	// as its cause.
	Commit(ctx context.Context, transaction Transaction) (Receipt, error)
	// Read reads items of one partition in one consistent snapshot.
	Read(ctx context.Context, query Query) ([]Item, Receipt, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object atomically and replaces an existing one.
	Put(ctx context.Context, name string, value []byte) error
	// Get reads an object; the error is fault.NotFound if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns up to limit names that have the prefix and come after the given
	// name, in ascending order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes an object; a missing object is no error.
	Delete(ctx context.Context, name string) error
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	// Address is the IP number of the VM, optionally with a port.
	Address string
	// Zone is the availability zone.
	Zone string
	// Leaving is set if the platform is about to remove the VM.
	Leaving bool
}

// VMList is the platform's list of VMs. The list is updated with a delay.
type VMList interface {
	// List returns all VMs that the platform lists as live or leaving.
	List(ctx context.Context) ([]VM, error)
}

// Platform is the set of the three services.
type Platform interface {
	Table() Table
	Objects() Objects
	VMs() VMList
}
