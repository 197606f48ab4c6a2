package apply

import (
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/conf/head"
)

type (
	// ConflictError reports that the active version is not the one that the operator read,
	// usually because another operator applied first. The text is certainly not active.
	ConflictError struct {
		Base  uint64 // the version that the operator read
		Found uint64 // the active version, 0 if there is none
		By    string // who applied it
		At    time.Time
	}

	// ShardsError reports a change of the number of shards, which is fixed for the life of a
	// store.
	ShardsError struct{ Have, Want int }

	// NotAppliedError reports that the store could not be reached in time. The text is
	// certainly not active.
	NotAppliedError struct{ Base uint64 }

	// UnknownError reports that the write of the head had an unknown outcome, and that the head
	// could not be read back in time or no longer lists the version. It is safe to apply the
	// text again from the version that is then active.
	UnknownError struct {
		Version uint64 // of the text if the write succeeded
		Nonce   string
	}
)

func conflict(base uint64, found head.Head) error {
	return &ConflictError{Base: base, Found: found.Version, By: found.By, At: found.At}
}

// Error names both versions and who applied the active one.
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

// Error says that the active version is unchanged.
func (e *NotAppliedError) Error() string {
	return "not applied: the store did not answer in time; the version in force is the one before"
}

// Error tells the operator to apply the same file again.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether version %d was taken (nonce %s): the store stopped answering during the last write; apply the same file again", e.Version, e.Nonce)
}
