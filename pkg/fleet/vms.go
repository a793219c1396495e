package fleet

import (
	"net"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// learnLeavingVM notes that the list marked a VM as leaving. It becomes news
// again only when the earlier note is half way to its end, so that the news of
// one VM does not go round for ever.
func (roster *roster) learnLeavingVM(address string, now time.Time) {
	heard, ok := roster.leavingVMs[address]
	if ok && now.Sub(heard) < leavingVMKept/2 {
		return
	}
	roster.changes++
	roster.leavingVMs[address] = now
	roster.leavingNews.add(address, address)
}

// takeVMs takes in the platform's list. A VM that the list holds as live is no
// longer leaving here; one that is gone from it stays noted for a while.
func (roster *roster) takeVMs(vms []platform.VM, now time.Time) {
	for _, vm := range vms {
		if vm.Leaving {
			roster.learnLeavingVM(vm.Address, now)
			continue
		}
		delete(roster.leavingVMs, vm.Address)
	}
}

// listed reports whether an address, or its IP number alone, is in the set.
func listed(addresses map[string]time.Time, address string) bool {
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
