package shards

import (
	"slices"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// tellFolders passes changes among the daemons with a data folder on.
func (s *Shards) tellFolders(members []swim.Member) {
	var folders []swim.Member
	for _, m := range members {
		if m.Disk {
			folders = append(folders, m)
		}
	}
	slices.SortFunc(folders, func(a, b swim.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if slices.EqualFunc(folders, s.folders, sameFolder) {
		return
	}
	s.folders = folders
	for _, w := range s.hosts {
		w.Folders(folders)
	}
}

func sameFolder(a, b swim.Member) bool {
	return a.Name == b.Name && a.FailureDomain == b.FailureDomain && a.State == b.State && a.Incarnation == b.Incarnation
}
