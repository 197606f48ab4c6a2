package shards

import (
	"slices"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

// sendFolders sends the daemons with a data folder to all hosts if any of them changed.
func (s *Shards) sendFolders(members []swim.Member) {
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
		w.UpdateFolders(folders)
	}
}

func sameFolder(a, b swim.Member) bool {
	return a.Name == b.Name && a.FailureDomain == b.FailureDomain && a.State == b.State && a.Incarnation == b.Incarnation
}
