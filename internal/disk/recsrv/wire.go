package recsrv

import (
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

// The methods that a holder offers to other daemons.
const (
	MethodWrite  = "disk.write"
	MethodRead   = "disk.read"
	MethodPull   = "disk.pull"
	MethodImport = "disk.fill"
	MethodDiskID = "disk.life" // answered with the life of the disk, as a string
)

type (
	// Stamp names the place that is meant, as a daemon knows it.
	Target struct {
		Version uint64 `cbor:"1,keyasint,omitempty"` // of the roster
		DiskID  string `cbor:"2,keyasint,omitempty"` // of the disk; empty where any will do
	}

	// WriteAsk asks for a record to be made durable.
	WriteRequest struct {
		Target Target       `cbor:"1,keyasint"`
		Record index.Record `cbor:"2,keyasint"`
	}

	// WriteReply tells what the program's attempts take of its budget, this
	// record included.
	WriteReply struct {
		Refusal Refusal        `cbor:"1,keyasint"`
		Charges []index.Charge `cbor:"2,keyasint,omitempty"`
	}

	// ReadAsk asks for a turn with its chain.
	ReadRequest struct {
		Target Target `cbor:"1,keyasint"`
		Turn   string `cbor:"2,keyasint"`
	}

	// ReadReply has the turn and those before it, the newest first, as far as
	// the holder has them. Next is the first that it lacks, empty if it has all.
	ReadReply struct {
		Refusal Refusal      `cbor:"1,keyasint"`
		Chain   []index.Turn `cbor:"3,keyasint,omitempty"`
		Next    string       `cbor:"4,keyasint,omitempty"`
	}

	// PullAsk asks what a holder has, from a position on, without texts. The
	// first ask of a copy fences older rosters. With Pick it asks for the whole
	// records at these positions instead.
	PullRequest struct {
		Target Target       `cbor:"1,keyasint"`
		From   seglog.Pos   `cbor:"2,keyasint"`
		First  bool         `cbor:"3,keyasint,omitempty"`
		Pick   []seglog.Pos `cbor:"4,keyasint,omitempty"`
	}

	// PullReply has records, and where each of them lies; none at the end. End
	// is where the log ended at the first ask: what comes after it reaches a
	// joining holder by itself.
	PullReply struct {
		Refusal   Refusal      `cbor:"1,keyasint"`
		Records   [][]byte     `cbor:"2,keyasint,omitempty"`
		Positions []seglog.Pos `cbor:"3,keyasint,omitempty"`
		After     seglog.Pos   `cbor:"4,keyasint"`
		End       seglog.Pos   `cbor:"5,keyasint"`
	}

	// FillAsk hands over records of a holder that is to be emptied.
	ImportRequest struct {
		Target  Target   `cbor:"1,keyasint"`
		Records [][]byte `cbor:"2,keyasint"`
	}

	// FillReply tells that they are durable.
	ImportReply struct {
		Refusal Refusal `cbor:"1,keyasint"`
	}

	// Refusal tells that nothing was done, and why. The zero value is none.
	Refusal struct {
		Code    string `cbor:"1,keyasint,omitempty"`
		Version uint64 `cbor:"2,keyasint,omitempty"` // of the newest roster known here
		Roster  []byte `cbor:"3,keyasint,omitempty"` // it, if it is known
	}
)

// The codes of refusals.
const (
	CodeStaleRoster = "stale" // the asker's roster is older than the one known here
	CodeWrongDisk   = "other" // another disk is meant
	CodeFull        = "full"  // the disk has no room
)
