package directory

import "time"

// The age of rows. A row with a lower version than the table had at a read was written
// before that read.

// tableVersion is the version of the table at a connected time.
type tableVersion struct {
	version uint64
	at      time.Duration
}

// recordVersion records the version of the table at a read. Time in which the version
// stays the same makes no row older, as the table may accept no writes.
func (directory *Directory) recordVersion(version uint64) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for last := len(directory.tableVersions) - 1; last >= 0 && directory.tableVersions[last].version >= version; last-- {
		directory.tableVersions = directory.tableVersions[:last]
	}
	directory.tableVersions = append(directory.tableVersions, tableVersion{version: version, at: directory.connectedTime})
	for len(directory.tableVersions) > 1 && directory.connectedTime-directory.tableVersions[1].at > maxStandbyUnchangedDuration {
		directory.tableVersions = directory.tableVersions[1:]
	}
}

// changedAt returns the connected time of the first read after the write of a row, or
// that of the oldest recorded read if the row was older then.
func (directory *Directory) changedAt(version uint64) time.Duration {
	for _, tableVersion := range directory.tableVersions {
		if version <= tableVersion.version {
			return tableVersion.at
		}
	}
	return directory.connectedTime
}
