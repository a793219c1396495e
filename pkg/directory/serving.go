package directory

// Serving returns the addresses of the routers that callers are directed to, this one
// among them if it is one, and whether the fleet is known: until the rows of both
// partitions have been read once, most of it may not be.
func (directory *Directory) Serving() (addresses []string, known bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if !directory.hasReadAll() {
		return nil, false
	}
	addresses = make([]string, 0, len(directory.selected))
	for _, member := range directory.selected {
		addresses = append(addresses, member.Address)
	}
	return addresses, true
}
