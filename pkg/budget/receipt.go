package budget

import "sync"

// Receipt reports whether a settlement is stored in the table or at a backup
// router.
type Receipt struct {
	durable     chan struct{}
	held        chan struct{}
	durableOnce sync.Once
	heldOnce    sync.Once
}

func newReceipt() *Receipt {
	return &Receipt{durable: make(chan struct{}), held: make(chan struct{})}
}

// Durable returns a channel that is closed once the lines are in the table.
func (receipt *Receipt) Durable() <-chan struct{} {
	return receipt.durable
}

// BackedUp returns a channel that is closed once the lines are in the table or a
// backup router has stored them.
func (receipt *Receipt) BackedUp() <-chan struct{} {
	return receipt.held
}

func (receipt *Receipt) markHeld() {
	receipt.heldOnce.Do(func() { close(receipt.held) })
}

func (receipt *Receipt) markDurable() {
	receipt.markHeld()
	receipt.durableOnce.Do(func() { close(receipt.durable) })
}
