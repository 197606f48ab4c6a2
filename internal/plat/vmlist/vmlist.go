// Package vmlist defines the interface to the platform's list of live and leaving
// VMs. The list lags: a VM may be gone before it is removed from the list.
package vmlist

import "context"

const (
	// Live is a VM in service.
	Live State = "live"
	// Leaving is a VM that must get no new work.
	Leaving State = "leaving"
)

type (
	// List reads the platform's list.
	List interface {
		VMs(ctx context.Context) ([]VM, error)
	}

	// State is a VM's lifecycle state.
	State string

	// VM is one entry of the list. Address is the IP address and port of the
	// process on the VM.
	VM struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		State         State  `json:"state"`
	}
)
