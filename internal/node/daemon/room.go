package daemon

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/node/setup"
)

// newRoom returns what clients may have the process hold. Bounds that the settings leave out are those of the machine.
func newRoom(b setup.Bounds) *memory.Budget {
	room := &memory.Budget{VM: int64(b.MemoryMB) << 20, Descriptors: int64(b.Descriptors), MostCallers: int64(b.Connections)}
	if room.VM == 0 {
		room.VM = machineMemory()
	}
	if room.Descriptors == 0 {
		room.Descriptors = maxDescriptors()
	}
	return room
}

// machineMemory returns the memory of the machine, 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// maxDescriptors returns how many descriptors the process may have, 0 if that is not known.
func maxDescriptors() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int64(limit.Cur)
}
