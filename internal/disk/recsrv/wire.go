package recsrv

import (
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

// The methods that a record server offers to other daemons.
const (
	MethodWrite    = "disk.write"
	MethodRead     = "disk.read"
	MethodPull     = "disk.pull"
	MethodImport   = "disk.fill"
	MethodRetained = "disk.retained"
	MethodDiskID   = "disk.life" // takes no parameters; returns the disk ID as a string
)

type (
	// Target is the roster and the disk that a request assumes. The server refuses
	// requests for a stale roster or another disk.
	Target struct {
		Version uint64 `cbor:"1,keyasint,omitempty"` // of the roster
		DiskID  string `cbor:"2,keyasint,omitempty"` // empty for any disk
	}

	// WriteRequest asks for a record to be made durable.
	WriteRequest struct {
		Target Target       `cbor:"1,keyasint"`
		Record index.Record `cbor:"2,keyasint"`
		Budget int          `cbor:"3,keyasint,omitempty"` // of the program, with a reservation; 0 for none
		Parts  bool         `cbor:"4,keyasint,omitempty"` // see AskParts of index.Record
	}

	// WriteReply has the charges of the program's attempts, this record's included, if the
	// record is a reservation, and the runs of its request if it has one, with the parts if
	// they are asked for.
	WriteReply struct {
		Refusal Refusal        `cbor:"1,keyasint"`
		Charges []index.Charge `cbor:"2,keyasint,omitempty"`
		Runs    []index.Run    `cbor:"3,keyasint,omitempty"`
		Parts   []index.Part   `cbor:"4,keyasint,omitempty"`
		// Refusing reports that the replica has refused records lately, because of its disk or of its
		// retirement: what it has no record of may have been. Set with a query.
		Refusing bool `cbor:"5,keyasint,omitempty"`
	}

	// ReadRequest asks for a turn and the previous ones.
	ReadRequest struct {
		Target Target `cbor:"1,keyasint"`
		Turn   string `cbor:"2,keyasint"`
		Most   int64  `cbor:"3,keyasint,omitempty"` // bytes that the turns may have; 0 for no bound
	}

	// ReadReply has the turn and the previous ones, the newest first, as far as the
	// replica has them. Next is the id of the first that it lacks, empty if it has all. If they have more bytes than they
	// may, it has none of them, and Size.
	ReadReply struct {
		Refusal Refusal      `cbor:"1,keyasint"`
		Chain   []index.Turn `cbor:"3,keyasint,omitempty"`
		Next    string       `cbor:"4,keyasint,omitempty"`
		Size    int64        `cbor:"5,keyasint,omitempty"` // bytes of the turns that are left out for their number
	}

	// PullRequest asks for the records from a position on, without their turns' input
	// and output. With Pick it asks for the records at these positions in full instead.
	// Any request fences older rosters; the first of a copy also waits for the fence to
	// be durable.
	PullRequest struct {
		Target Target       `cbor:"1,keyasint"`
		From   seglog.Pos   `cbor:"2,keyasint"`
		First  bool         `cbor:"3,keyasint,omitempty"`
		Pick   []seglog.Pos `cbor:"4,keyasint,omitempty"`
	}

	// PullReply has the requested records, none at the end of the log, and of those that were picked
	// the ones that are still there. Unless they were picked, it also has their positions and the position to continue from. In the first reply
	// of a copy, End is the end of the log: records after it were not written under an older
	// roster and need not be copied. In others it is the end of the records that were moved from
	// segments that are dropped, which must be copied, and zero if there are none.
	PullReply struct {
		Refusal   Refusal      `cbor:"1,keyasint"`
		Records   [][]byte     `cbor:"2,keyasint,omitempty"`
		Positions []seglog.Pos `cbor:"3,keyasint,omitempty"`
		After     seglog.Pos   `cbor:"4,keyasint"`
		End       seglog.Pos   `cbor:"5,keyasint"`
	}

	// ImportRequest has records of a replica that is being retired.
	ImportRequest struct {
		Target  Target   `cbor:"1,keyasint"`
		Records [][]byte `cbor:"2,keyasint"`
	}

	// ImportReply confirms that the records are durable, or were indexed already.
	ImportReply struct {
		Refusal Refusal `cbor:"1,keyasint"`
	}

	// RetainedRequest asks until when programs are retained.
	RetainedRequest struct {
		Target   Target   `cbor:"1,keyasint"`
		Programs []string `cbor:"2,keyasint"`
	}

	// RetainedReply has one time for each program, in Unix milliseconds, 0 for one that the replica lacks.
	RetainedReply struct {
		Refusal Refusal `cbor:"1,keyasint"`
		Until   []int64 `cbor:"2,keyasint,omitempty"`
	}

	// Refusal reports that the request was not executed, and why. The zero value means
	// that it was executed.
	Refusal struct {
		Code    string `cbor:"1,keyasint,omitempty"`
		Version uint64 `cbor:"2,keyasint,omitempty"` // of the newest roster that the server has seen; 0 with CodeFull and CodeBusy
		Roster  []byte `cbor:"3,keyasint,omitempty"` // newest roster that the server has, encoded; empty if it has none, and with CodeFull and CodeBusy
	}
)

// The codes of refusals.
const (
	CodeStaleRoster = "stale" // the request's roster is older than the newest that the server has seen
	CodeWrongDisk   = "other" // the request is for another disk
	CodeFull        = "full"  // the disk is full or frozen
	CodeBusy        = "busy"  // too many records are being written
	CodeSpent       = "spent" // the program's settled attempts leave no room for the reservation
)
