package shards

import (
	"slices"

	"github.com/slaterock/slaterock/internal/peer/beat"
)

// sendFolders sends the daemons with a data folder to all hosts if any of them changed.
func (s *Shards) sendFolders(members []beat.Member) {
	var folders []beat.Member
	for _, m := range members {
		if m.Disk {
			folders = append(folders, m)
		}
	}
	slices.SortFunc(folders, func(a, b beat.Member) int {
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

func sameFolder(a, b beat.Member) bool {
	return a.Name == b.Name && a.FailureDomain == b.FailureDomain && a.State == b.State && a.Incarnation == b.Incarnation
}
