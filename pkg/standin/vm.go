package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// VMList is the platform's list of VMs. Readers see changes after a delay.
type VMList struct {
	delay    time.Duration
	mutex    sync.Mutex
	versions []vmListVersion
}

// vmListVersion is the content of the list from a point in time on.
type vmListVersion struct {
	validFrom time.Time
	vms       []platform.VM
}

var _ platform.VMList = (*VMList)(nil)

// NewVMList returns an empty list whose changes become visible after the delay.
func NewVMList(delay time.Duration) *VMList {
	return &VMList{delay: delay, versions: []vmListVersion{{}}}
}

// Set replaces the list.
func (vmList *VMList) Set(vms []platform.VM) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.addVersion(slices.Clone(vms))
}

// Add adds a VM, or replaces the one with the same address.
func (vmList *VMList) Add(vm platform.VM) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.addVersion(append(vmList.without(vm.Address), vm))
}

// Remove removes the VM with the address.
func (vmList *VMList) Remove(address string) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.addVersion(vmList.without(address))
}

// List returns the VMs as they were one delay ago.
func (vmList *VMList) List(context.Context) ([]platform.VM, error) {
	vmList.mutex.Lock()
	defer vmList.mutex.Unlock()
	vmList.dropOldVersions()
	return slices.Clone(vmList.versions[0].vms), nil
}

func (vmList *VMList) without(address string) []platform.VM {
	latest := vmList.versions[len(vmList.versions)-1].vms
	return slices.DeleteFunc(slices.Clone(latest), func(vm platform.VM) bool { return vm.Address == address })
}

func (vmList *VMList) addVersion(vms []platform.VM) {
	vmList.versions = append(vmList.versions, vmListVersion{validFrom: time.Now(), vms: vms})
	vmList.dropOldVersions()
}

// dropOldVersions drops the versions that were replaced at least one delay ago, so
// that the first version is the one that readers see.
func (vmList *VMList) dropOldVersions() {
	visibleTime := time.Now().Add(-vmList.delay)
	for len(vmList.versions) > 1 && !vmList.versions[1].validFrom.After(visibleTime) {
		vmList.versions = vmList.versions[1:]
	}
}
