// Package recsrv is the record server: it stores durable records on one VM's disk for
// the daemons that serve callers. It appends the records they write, answers their
// reads, and lets other record servers copy its log.
//
// A record server decides nothing about budgets or turns. It acknowledges a record once
// it is synced. It refuses requests made under a roster older than the newest it has
// seen: they may come from a daemon that doesn't know that a disk has been replaced.
package recsrv

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// pageSize is about how many bytes of full records one request or answer of a copy
	// has. They take 20 ms on the slowest link, so that other requests on it are
	// hardly delayed.
	pageSize = 256 << 10
	// scanPage is how many bytes of the log are scanned for one answer of a pull
	// without the turns' input and output; the answer is a fiftieth of that.
	scanPage = 1 << 20
	// forceDropAfter bounds how long a segment is retained for its live records. Once
	// its last write is older than the longest retention by this and ClockSlack, they
	// are copied to the end of the log and the segment is dropped.
	forceDropAfter = 10 * time.Second
	// readTries is how often a turn is looked up that was moved before it could be read.
	readTries = 3
	// maxFill is the part of the disk that records may fill.
	maxFill = 0.85
)

// Server stores records in Dir. Set the exported fields, then call Open.
type Server struct {
	Dir      string
	Capacity int64 // bytes of the disk; 0 is unbounded
	Now      func() time.Time
	Scope    tally.Scope    // of metrics; nil for none
	Others   Peers          // connects to the other replicas, which are asked before records expire; nil to ask none
	Room     *memory.Budget // for long histories that are read; nil for no bound
	OnDisk   func(error)    // called when the disk no longer takes records, and with nil when it does again; nil for none

	log    seglog.Log
	diskID string
	meter  meter
	disk   diskState

	mu         sync.Mutex
	index      index.Index
	minVersion uint64 // of the newest roster seen; requests under older ones are refused
	roster     roster.Roster
	maxTTL     time.Duration // longest retention of the records of attempts that are over
	maxOpenTTL time.Duration // likewise of the others: it has the longest time that they may take
	frozen     bool          // no new records are accepted, because this VM is being retired
	writes     int           // under way
	importedAt time.Time     // when records of another replica came last
	movedTo    seglog.Pos    // end of the records that Trim has moved; zero if it has moved none
	refusedAt  time.Time     // when the last record was refused for the disk or for Freeze
	unsaved    unsaved       // records that the disk has refused and that the index has
}

// Open reads the log. Empty reports that the disk was empty and has got a new ID.
func (s *Server) Open() (empty bool, err error) {
	defer func() { err = errors.Wrap(err, "open record server") }()
	if s.Now == nil {
		s.Now = time.Now
	}
	s.meter.open(s.Scope)
	if s.diskID, empty, err = loadDiskID(s.Dir); err != nil {
		return false, err
	}
	s.log.Dir = s.Dir
	s.log.Sync = s.meter.timed(s.log.Sync)
	now := s.Now()
	var decodeErr error
	err = s.log.Open(func(pos seglog.Pos, data []byte) {
		r, err := index.Decode(data)
		if err != nil {
			decodeErr = errors.CombineErrors(decodeErr, err)
			return
		}
		s.apply(r, pos, now)
	})
	if err = errors.CombineErrors(err, decodeErr); err == nil {
		s.noteDisk(s.log.Refused() != nil)
	}
	return empty, err
}

// DiskID returns the random ID of the disk, in hex.
func (s *Server) DiskID() string { return s.diskID }

// Close writes the pending records and closes the log.
func (s *Server) Close() error {
	s.disk.close()
	return s.log.Close()
}

// Register registers the server's methods with the link.
func (s *Server) Register(l *link.Link) {
	for name, do := range s.methods() {
		l.Handle(name, do)
	}
}

// Serve executes one call without a link.
func (s *Server) Serve(ctx context.Context, method string, params json.RawMessage) (any, error) {
	do := s.methods()[method]
	if do == nil {
		return nil, errors.Newf("unknown method %s", method)
	}
	return do(ctx, params)
}

func (s *Server) methods() map[string]link.Handler {
	return map[string]link.Handler{
		MethodWrite:    link.TypedHandler(s.Write),
		MethodRead:     link.TypedHandler(s.Read),
		MethodPull:     link.TypedHandler(s.Pull),
		MethodImport:   link.TypedHandler(s.handleImport),
		MethodRetained: link.TypedHandler(s.Retained),
		MethodDiskID:   link.TypedHandler(func(context.Context, struct{}) (string, error) { return s.diskID, nil }),
	}
}

// Learn updates the roster, if r is newer, and refuses requests under older ones.
func (s *Server) Learn(r roster.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version > s.roster.Version {
		s.roster = r
	}
	s.fence(r.Version)
}

// fence makes the server refuse requests under rosters older than version. It appends the
// version to the record log, so that this also holds after a restart. The caller holds
// s.mu.
func (s *Server) fence(version uint64) {
	if version <= s.minVersion {
		return
	}
	s.minVersion = version
	data, err := index.Record{Fence: version}.Encode()
	if err == nil {
		s.log.Append(data, func(seglog.Pos, error) {})
	}
}

// checkTarget refuses a request that is for another disk or under a stale roster. An
// accepted one fences rosters older than its own.
func (s *Server) checkTarget(t Target) Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkTargetLocked(t)
}

func (s *Server) checkTargetLocked(t Target) Refusal {
	if t.DiskID != "" && t.DiskID != s.diskID {
		return s.refusal(CodeWrongDisk)
	}
	if t.Version < s.minVersion {
		return s.refusal(CodeStaleRoster)
	}
	s.fence(t.Version)
	return Refusal{}
}

func (s *Server) refusal(code string) Refusal {
	r := Refusal{Code: code, Version: s.minVersion}
	if s.roster.Version > 0 {
		r.Roster, _ = s.roster.Encode() // never fails: strings and numbers only
	}
	return r
}

// apply indexes a durable record. The caller holds s.mu, or is Open.
func (s *Server) apply(r index.Record, pos seglog.Pos, now time.Time) {
	s.minVersion = max(s.minVersion, r.Fence)
	longest := &s.maxOpenTTL
	if r.IsOver() {
		longest = &s.maxTTL
	}
	*longest = max(*longest, time.Duration(r.TTL)*time.Millisecond)
	s.index.Apply(r, pos, now)
}

// Read returns a turn and the previous ones, as far as they are on this disk.
func (s *Server) Read(ctx context.Context, req ReadRequest) (reply ReadReply, err error) {
	began := time.Now()
	defer func() { s.meter.observe(kindRead, began, reply.Refusal) }()
	if r := s.checkTarget(req.Target); r.Code != "" {
		return ReadReply{Refusal: r}, nil
	}
	return s.readChain(ctx, req)
}

// isDropped reports whether a read failed since the segment was dropped before it, or during it.
func isDropped(err error) bool { return errors.IsAny(err, os.ErrNotExist, os.ErrClosed) }

func (s *Server) readChain(ctx context.Context, req ReadRequest) (reply ReadReply, err error) {
	positions, next := s.lookUp(req.Turn)
	size := int64(0)
	for _, pos := range positions {
		size += int64(pos.Size)
	}
	if req.Most > 0 && size > req.Most {
		return ReadReply{Size: size, Next: req.Turn}, nil
	}
	if size > memory.Short && s.Room != nil {
		n := min(size, s.Room.Limit())
		if err := s.Room.Take(ctx, n); err != nil {
			return ReadReply{}, err
		}
		defer s.Room.Return(n)
	}
	chain := make([]index.Turn, 0, len(positions))
	for tries := 0; len(chain) < len(positions); {
		turn, err := s.readTurn(positions[len(chain)])
		tries++
		switch {
		case err == nil:
			chain, tries = append(chain, turn), 0
		case !isDropped(err) || tries == readTries:
			return ReadReply{}, err
		default: // moved since its position was looked up; what was read before holds
			positions, next = s.lookUp(req.Turn)
			chain = chain[:min(len(chain), len(positions))] // the oldest may have expired
		}
	}
	return ReadReply{Chain: chain, Next: next}, nil
}

// lookUp returns the positions of a turn and the previous ones, and the id of the first that this disk lacks.
func (s *Server) lookUp(turn string) (positions []seglog.Pos, next string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Chain(turn)
}

func (s *Server) readTurn(pos seglog.Pos) (turn index.Turn, err error) {
	data, err := s.log.Read(pos)
	if err != nil {
		return turn, err
	}
	r, err := index.Decode(data)
	if err != nil || r.Turn == nil {
		return turn, errors.CombineErrors(errors.New("record has no turn"), err)
	}
	r.Turn.Owner = r.Key()
	return *r.Turn, nil
}

// Pull returns the records from a position on without their turns' input and output, or
// picked records in full. The first request of a copy waits until all records accepted
// under older rosters are committed: such a record may still be acknowledged, so the copy
// must include it.
func (s *Server) Pull(ctx context.Context, req PullRequest) (reply PullReply, err error) {
	if r := s.checkTarget(req.Target); r.Code != "" {
		return PullReply{Refusal: r}, nil
	}
	if len(req.Pick) > 0 {
		reply.Records, err = s.readAt(req.Pick)
		reply.End = s.movedEnd()
		return reply, err
	}
	if req.First {
		if err = s.barrier(ctx, req.Target.Version); err != nil {
			return PullReply{}, err
		}
		reply.End = s.log.End()
	}
	var recs [][]byte
	recs, reply.Positions, reply.After, err = s.log.Scan(req.From, scanPage)
	if err != nil {
		return PullReply{}, err
	}
	// Read after the scan: a segment that it no longer found was moved before.
	if moved := s.movedEnd(); reply.End.Before(moved) {
		reply.End = moved
	}
	for _, data := range recs {
		r, err := index.Decode(data)
		if err != nil {
			return PullReply{}, err
		}
		stripped, err := r.WithoutContent().Encode()
		if err != nil {
			return PullReply{}, err
		}
		reply.Records = append(reply.Records, stripped)
	}
	return reply, nil
}

// movedEnd returns the end of the records that Trim has moved.
func (s *Server) movedEnd() seglog.Pos {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.movedTo
}

// readAt returns the records at the positions, except those that have been dropped since: what was live
// there comes before movedEnd.
func (s *Server) readAt(positions []seglog.Pos) (recs [][]byte, err error) {
	for _, pos := range positions {
		rec, err := s.log.Read(pos)
		if isDropped(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	return recs, nil
}

// barrier appends a fence for the version and returns once it and all records appended
// before are committed.
func (s *Server) barrier(ctx context.Context, version uint64) error {
	return s.appendAndWait(ctx, index.Record{Fence: version})
}

func (s *Server) handleImport(ctx context.Context, req ImportRequest) (ImportReply, error) {
	if r := s.checkTarget(req.Target); r.Code != "" {
		return ImportReply{Refusal: r}, nil
	}
	return ImportReply{}, s.Import(ctx, req.Records)
}

// Import appends the records that the index lacks and waits until all of them are durable. A
// record that is indexed already may still be waiting for its sync: the index has its charge as
// soon as it is appended. A replica that is being retired leaves once this returns.
func (s *Server) Import(ctx context.Context, records [][]byte) (err error) {
	list := make([]stored, len(records))
	for i, data := range records {
		r, err := index.Decode(data)
		if err != nil {
			return err
		}
		list[i] = stored{r, data}
	}
	for err == nil && len(list) > 0 {
		list, err = s.importOnce(ctx, list)
	}
	return err
}

// importOnce returns the records that were indexed before and whose write the disk has refused since.
func (s *Server) importOnce(ctx context.Context, list []stored) (refused []stored, err error) {
	var indexed []stored
	wait := make(chan error, len(list))
	for _, r := range list {
		s.mu.Lock()
		s.importedAt = s.Now()
		has := s.holds(r.rec) // also true of a record that has only a fence, which need not be copied
		s.mu.Unlock()
		if has {
			indexed = append(indexed, r)
			continue
		}
		s.append(r.rec, r.data, wait)
	}
	err = drain(ctx, wait, len(list)-len(indexed))
	if len(indexed) == len(list) {
		// Nothing was appended behind the records that are indexed.
		err = s.barrier(ctx, s.fenceVersion())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(indexed, func(r stored) bool { return s.holds(r.rec) }), err
}

func (s *Server) fenceVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minVersion
}

// Stats returns the number of programs and turns, and the bytes on disk.
func (s *Server) Stats() (programs, turns int, bytes int64) {
	s.mu.Lock()
	programs, turns = s.index.Len()
	s.mu.Unlock()
	return programs, turns, s.log.Bytes()
}
