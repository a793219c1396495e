package budget

import "sync"

// Receipt reports whether a settlement is stored in the table or at a backup
// router.
type Receipt struct {
	durable      chan struct{}
	backedUp     chan struct{}
	durableOnce  sync.Once
	backedUpOnce sync.Once
}

func newReceipt() *Receipt {
	return &Receipt{durable: make(chan struct{}), backedUp: make(chan struct{})}
}

// Durable returns a channel that is closed once the lines are in the table.
func (receipt *Receipt) Durable() <-chan struct{} {
	return receipt.durable
}

// BackedUp returns a channel that is closed once the lines are in the table or a
// backup router has stored them.
func (receipt *Receipt) BackedUp() <-chan struct{} {
	return receipt.backedUp
}

func (receipt *Receipt) markBackedUp() {
	receipt.backedUpOnce.Do(func() { close(receipt.backedUp) })
}

func (receipt *Receipt) markDurable() {
	receipt.markBackedUp()
	receipt.durableOnce.Do(func() { close(receipt.durable) })
}
