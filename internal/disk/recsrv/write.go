package recsrv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/seglog"
)

// maxWrites is the number of writes under way above which reservations are refused.
// They take some 50 ms then. Of the 256 requests that a link serves at a time, the rest
// is for the records of turns that have run.
const maxWrites = 128

// Write makes a record durable. For a reservation it returns the charges of the program, and
// for a record with a run the runs of its request. A query is answered without a write.
func (s *Server) Write(ctx context.Context, req WriteRequest) (reply WriteReply, err error) {
	began := time.Now()
	defer func() { s.meter.observe(kindOf(req.Record), began, reply.Refusal) }()
	if req.Record.IsQuery() {
		if reply.Refusal = s.checkTarget(req.Target); reply.Refusal.Code == "" {
			reply.Runs = s.runs(req.Record)
			reply.Parts, err = s.parts(req)
			reply.Refusing = s.hasRefused() // last: then it covers all that is missing above
		}
		return reply, err
	}
	data, err := req.Record.Encode()
	if err != nil {
		return WriteReply{}, err
	}
	done := make(chan error, 1)
	if reply.Refusal = s.appendIfAllowed(req, data, done); reply.Refusal.Code != "" {
		s.noteDisk(reply.Refusal.Code == CodeFull)
		return reply, nil
	}
	err = await(ctx, done)
	if err == nil && req.Record.Run != nil {
		reply.Runs = s.runs(req.Record)
		reply.Parts, err = s.parts(req)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes--
	if err == nil && req.Record.Reserved {
		reply.Charges = s.index.Charges(req.Record.Program)
	}
	return reply, err
}

// runs returns the runs of a record's request.
func (s *Server) runs(r index.Record) []index.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Runs(r.Program, r.Run.Request, r.Run.First)
}

// parts returns the parts that a request asks for.
func (s *Server) parts(req WriteRequest) (list []index.Part, err error) {
	if !req.Parts {
		return nil, nil
	}
	r := req.Record
	for range readTries {
		s.mu.Lock()
		positions := s.index.Parts(r.Program, r.Run.Request, r.Run.First)
		s.mu.Unlock()
		if list, err = s.partsAt(positions); !isDropped(err) {
			break
		}
	}
	return list, err
}

func (s *Server) partsAt(positions []seglog.Pos) (list []index.Part, err error) {
	for _, pos := range positions {
		data, err := s.log.Read(pos)
		if err != nil {
			return nil, err
		}
		r, err := index.Decode(data)
		if err != nil || r.Part == nil {
			return nil, errors.CombineErrors(errors.New("record has no part"), err)
		}
		r.Part.Attempt = r.Attempt
		list = append(list, *r.Part)
	}
	return list, nil
}

// appendIfAllowed appends a record unless it must be refused. The checks and the append
// are atomic. Otherwise the start of a copy of this disk, or Freeze, could come between
// them: the record would be acknowledged here but missing from the copy, and so be on no
// other disk of the new roster.
func (s *Server) appendIfAllowed(req WriteRequest, data []byte, done chan<- error) Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.checkTargetLocked(req.Target); r.Code != "" {
		return r
	}
	if s.frozen || s.diskError() != nil {
		s.refusedAt = s.Now()
		return Refusal{Code: CodeFull}
	}
	if req.Record.Reserved && req.Budget > 0 && s.index.SettledTokens(req.Record.Program)+req.Record.MaxTokens > req.Budget {
		return Refusal{Code: CodeSpent}
	}
	if req.Record.Reserved && s.writes >= maxWrites {
		return Refusal{Code: CodeBusy}
	}
	s.writes++
	s.index.ApplyCharge(req.Record, s.Now())
	s.append(req.Record, data, done)
	return Refusal{}
}

// Freeze sets whether new records are refused. While they are, only the other record
// servers acknowledge records.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = on
}

// appendAndWait appends a record and waits until it is durable.
func (s *Server) appendAndWait(ctx context.Context, r index.Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.index.ApplyCharge(r, s.Now())
	s.mu.Unlock()
	done := make(chan error, 1)
	s.append(r, data, done)
	return await(ctx, done)
}

// append appends a record, and sends to done once it is durable and indexed.
func (s *Server) append(r index.Record, data []byte, done chan<- error) {
	s.log.Append(data, func(pos seglog.Pos, err error) {
		s.mu.Lock()
		if err == nil {
			s.apply(r, pos, s.Now())
		} else {
			s.unsaved.add(r)
			s.refusedAt = s.Now()
			s.meter.unwritten.Inc(1)
		}
		s.mu.Unlock()
		s.noteDisk(err != nil)
		done <- err
	})
}

func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
