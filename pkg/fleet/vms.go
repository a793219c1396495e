package fleet

import (
	"net"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// recordLeavingVM records and gossips a VM that the platform's VM list marks as
// leaving. A repeated report is ignored until half of leavingVMRetention has
// passed, so that reports of one VM don't circulate forever.
func (roster *roster) recordLeavingVM(address string, now time.Time) {
	reportedAt, ok := roster.leavingVMs[address]
	if ok && now.Sub(reportedAt) < leavingVMRetention/2 {
		return
	}
	roster.changeCount++
	roster.leavingVMs[address] = now
	roster.leavingVMGossip.add(address, address)
}

// applyVMList applies the platform's VM list. A VM that the list shows as not
// leaving is removed from leavingVMs; one that is missing from the list stays
// there until leavingVMRetention has passed.
func (roster *roster) applyVMList(vms []platform.VM, now time.Time) {
	for _, vm := range vms {
		if vm.Leaving {
			roster.recordLeavingVM(vm.Address, now)
			continue
		}
		delete(roster.leavingVMs, vm.Address)
	}
}

// containsAddress reports whether the set contains an address with its port, or
// the IP address alone.
func containsAddress(addresses map[string]time.Time, address string) bool {
	if _, ok := addresses[address]; ok {
		return true
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	_, ok := addresses[host]
	return ok
}
