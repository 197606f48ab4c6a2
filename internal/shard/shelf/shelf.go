// Package shelf offers a daemon's data folder to the other daemons and reaches
// theirs, over the link between them.
//
// Every daemon has one Shelf, also one without a folder: its owners' blobs are
// at others. It implements bulk.Peers. One method carries all calls, and what
// went wrong comes back as a code, since an error of the link is text only and
// "not found" must not be mistaken for "not reached".
package shelf

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/shard/blobs"
)

// Method is the name under which Serve is offered to peers.
const Method = "blobs.do"

const (
	opPut  op = "put"
	opCopy op = "copy"
	opGet  op = "get"
	opList op = "list"
	opDrop op = "drop"

	codeNotFound code = "not_found"
	codeCorrupt  code = "corrupt"
	codeFenced   code = "fenced"
	codeFailed   code = "failed"

	maxPage = 1000
)

type (
	// Shelf is one daemon's end. Its fields are set before the first call.
	Shelf struct {
		Name   string        // this daemon
		Folder *blobs.Folder // nil without a disk
		// Invoke calls the method at the daemon of that name.
		Invoke func(ctx context.Context, to, method string, params, out any) error
	}

	op   string
	code string

	ask struct {
		Op      op             `json:"op"`
		Shard   int            `json:"shard"`
		Epoch   uint64         `json:"epoch,omitempty"`
		Digest  blobs.Digest   `json:"digest,omitzero"` // for list the one before
		From    string         `json:"from,omitempty"`
		Limit   int            `json:"limit,omitempty"`
		Data    []byte         `json:"data,omitempty"`
		Digests []blobs.Digest `json:"digests,omitempty"`
	}

	answer struct {
		Code    code           `json:"code,omitempty"`
		Message string         `json:"message,omitempty"`
		Data    []byte         `json:"data,omitempty"`
		Digests []blobs.Digest `json:"digests,omitempty"`
	}
)

// ErrNoFolder reports a daemon without a data folder.
var ErrNoFolder = errors.New("shelf: no data folder")

// Serve answers a peer's call.
func (s *Shelf) Serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q ask
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "parameters of "+Method)
	}
	return s.do(ctx, q), nil
}

// Put implements bulk.Peers.
func (s *Shelf) Put(ctx context.Context, to string, shard int, data []byte) error {
	_, err := s.call(ctx, to, ask{Op: opPut, Shard: shard, Data: data})
	return err
}

// Copy implements bulk.Peers.
func (s *Shelf) Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error {
	_, err := s.call(ctx, to, ask{Op: opCopy, Shard: shard, Digest: d, From: from})
	return err
}

// Get implements bulk.Peers.
func (s *Shelf) Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error) {
	a, err := s.call(ctx, from, ask{Op: opGet, Shard: shard, Digest: d})
	return a.Data, err
}

// List implements bulk.Peers.
func (s *Shelf) List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error) {
	a, err := s.call(ctx, from, ask{Op: opList, Shard: shard, Digest: after, Limit: limit})
	return a.Digests, err
}

// Drop implements bulk.Peers.
func (s *Shelf) Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error {
	_, err := s.call(ctx, to, ask{Op: opDrop, Shard: shard, Epoch: epoch, Digests: d})
	return err
}

func (s *Shelf) call(ctx context.Context, to string, q ask) (a answer, err error) {
	defer func() { err = errors.Wrapf(err, "%s at %s", string(q.Op), to) }()
	if to == s.Name {
		a = s.do(ctx, q)
	} else if err := s.Invoke(ctx, to, Method, q, &a); err != nil {
		return a, err
	}
	return a, a.err(q.Digest)
}

func (s *Shelf) do(ctx context.Context, q ask) (a answer) {
	err := ErrNoFolder
	if s.Folder != nil {
		a, err = s.folder(ctx, q)
	}
	return a.with(err)
}

func (s *Shelf) folder(ctx context.Context, q ask) (a answer, err error) {
	switch q.Op {
	case opPut:
		_, err = s.Folder.Put(q.Shard, q.Data)
	case opCopy:
		err = s.fetch(ctx, q)
	case opGet:
		a.Data, err = s.Folder.Get(q.Shard, q.Digest)
	case opList:
		a.Digests, err = s.Folder.List(q.Shard, q.Digest, min(q.Limit, maxPage))
	case opDrop:
		_, err = s.Folder.Drop(q.Shard, q.Epoch, q.Digests)
	default:
		err = errors.Newf("unknown operation %q", string(q.Op))
	}
	return a, err
}

// fetch stores a blob of another daemon here. What that daemon sends is not
// trusted: bytes with another digest would be stored under their own name, and
// the owner would count a copy that is not there.
func (s *Shelf) fetch(ctx context.Context, q ask) error {
	data, err := s.Get(ctx, q.From, q.Shard, q.Digest)
	if err != nil {
		return errors.Newf("fetch: %v", err) // the missing blob is there, not here
	}
	if blobs.Sum(data) != q.Digest {
		return errors.Newf("fetch: %s sent another blob", q.From)
	}
	_, err = s.Folder.Put(q.Shard, data)
	return err
}

func (a answer) with(err error) answer {
	var corrupt *blobs.CorruptError
	switch {
	case err == nil:
		return a
	case errors.Is(err, blobs.ErrNotFound):
		a.Code = codeNotFound
	case errors.As(err, &corrupt):
		a.Code = codeCorrupt
	case errors.Is(err, blobs.ErrFenced):
		a.Code = codeFenced
	default:
		a.Code = codeFailed
	}
	a.Message = err.Error()
	return a
}

func (a answer) err(d blobs.Digest) error {
	switch a.Code {
	case "":
		return nil
	case codeNotFound:
		return blobs.ErrNotFound
	case codeCorrupt:
		return &blobs.CorruptError{Digest: d}
	case codeFenced:
		return blobs.ErrFenced
	}
	return errors.New(a.Message)
}
