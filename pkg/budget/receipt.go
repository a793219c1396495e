package budget

import "sync"

// Receipt tells how safe a settlement is.
type Receipt struct {
	durable     chan struct{}
	held        chan struct{}
	durableOnce sync.Once
	heldOnce    sync.Once
}

func newReceipt() *Receipt {
	return &Receipt{durable: make(chan struct{}), held: make(chan struct{})}
}

// Durable is closed when the lines are in the table.
func (receipt *Receipt) Durable() <-chan struct{} {
	return receipt.durable
}

// Held is closed when the lines are in the table or a second router holds them.
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
