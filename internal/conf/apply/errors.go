package apply

import (
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/conf/head"
)

type (
	// ConflictError reports that another operator was first. The text is
	// certainly not in force.
	ConflictError struct {
		Base  uint64 // the version that the operator read
		Found uint64 // the version in force
		By    string // who applied it
		At    time.Time
	}

	// ShardsError reports a change of what is fixed for the life of a store.
	ShardsError struct{ Have, Want int }

	// NotAppliedError reports that the store could not be reached in time.
	// The text is certainly not in force.
	NotAppliedError struct{ Base uint64 }

	// UnknownError reports that the store took or did not take the text, and
	// could not be asked in time. Applying it again from the version that is
	// then in force is harmless.
	UnknownError struct {
		Version uint64 // that it has if it was taken
		Nonce   string
	}
)

func conflict(base uint64, found head.Head) error {
	return &ConflictError{Base: base, Found: found.Version, By: found.By, At: found.At}
}

// Error names both versions, and who applied the one in force.
func (e *ConflictError) Error() string {
	if e.Found == 0 {
		return fmt.Sprintf("not applied: you read version %d, and no version is in force", e.Base)
	}
	return fmt.Sprintf("not applied: you read version %d, and version %d is in force, applied by %s at %s; read it, merge, and apply from it",
		e.Base, e.Found, e.By, e.At.Format(time.RFC3339))
}

// Error names both numbers.
func (e *ShardsError) Error() string {
	return fmt.Sprintf("not applied: [system] shards is %d for the life of this store, not %d", e.Have, e.Want)
}

// Error says that nothing changed.
func (e *NotAppliedError) Error() string {
	return "not applied: the store did not answer in time; the version in force is the one before"
}

// Error says how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether version %d was taken (nonce %s): the store stopped answering during the last write; apply the same file again", e.Version, e.Nonce)
}
