package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// VMList is the platform's list of VMs. Readers see it as it was a lag ago.
type VMList struct {
	lag    time.Duration
	mutex  sync.Mutex
	states []vmState
}

// vmState is the list as it stood from a time on.
type vmState struct {
	since time.Time
	vms   []platform.VM
}

var _ platform.VMList = (*VMList)(nil)

// NewVMList returns an empty list whose changes are seen after the lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, states: []vmState{{}}}
}

// Set replaces the list.
func (vmList *VMList) Set(vms []platform.VM) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.push(slices.Clone(vms))
}

// Add adds a VM, or replaces the one with its address.
func (vmList *VMList) Add(vm platform.VM) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.push(append(vmList.without(vm.Address), vm))
}

// Remove removes the VM with the address.
func (vmList *VMList) Remove(address string) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.push(vmList.without(address))
}

// List returns the VMs as they were a lag ago.
func (vmList *VMList) List(context.Context) ([]platform.VM, error) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.expire()
	return slices.Clone(vmList.states[0].vms), nil
}

func (vmList *VMList) without(address string) []platform.VM {
	latest := vmList.states[len(vmList.states)-1].vms
	return slices.DeleteFunc(slices.Clone(latest), func(vm platform.VM) bool { return vm.Address == address })
}

func (vmList *VMList) push(vms []platform.VM) {
	vmList.states = append(vmList.states, vmState{since: time.Now(), vms: vms})
	vmList.expire()
}

// expire drops the states that a reader can no longer see.
func (vmList *VMList) expire() {
	visible := time.Now().Add(-vmList.lag)
	for len(vmList.states) > 1 && !vmList.states[1].since.After(visible) {
		vmList.states = vmList.states[1:]
	}
}
