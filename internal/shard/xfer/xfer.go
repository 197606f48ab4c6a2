// Package xfer transfers blobs between daemons: it serves a daemon's data folder
// to the others and accesses theirs, over the connections between daemons
// (Invoke).
//
// Every daemon has an Endpoint. One without a data folder uses it to reach the
// blobs of its shards at other daemons. Endpoint implements blobio.Peers. All
// operations use one method, and failures are returned as codes: an error of the
// connection is text only, and "not found" must be distinguishable from an
// unreachable daemon.
package xfer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/shard/blobs"
)

// Method is the name under which Serve is registered for calls from other daemons.
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
	// Endpoint is the client and server of one daemon. Its fields are set
	// before the first call.
	Endpoint struct {
		Name   string        // this daemon
		Folder *blobs.Folder // nil without a data folder
		// Invoke calls the method at the daemon named to.
		Invoke func(ctx context.Context, to, method string, params, out any) error
	}

	op   string
	code string

	request struct {
		Op      op             `json:"op"`
		Shard   int            `json:"shard"`
		Epoch   uint64         `json:"epoch,omitempty"`
		Digest  blobs.Digest   `json:"digest,omitzero"` // for list: the last one of the page before
		From    string         `json:"from,omitempty"`
		Limit   int            `json:"limit,omitempty"`
		Data    []byte         `json:"data,omitempty"`
		Digests []blobs.Digest `json:"digests,omitempty"`
	}

	response struct {
		Code    code           `json:"code,omitempty"`
		Message string         `json:"message,omitempty"`
		Data    []byte         `json:"data,omitempty"`
		Digests []blobs.Digest `json:"digests,omitempty"`
	}
)

// ErrNoFolder reports that this daemon has no data folder. From another daemon
// only its text arrives.
var ErrNoFolder = errors.New("xfer: no data folder")

// Serve handles a call from another daemon.
func (e *Endpoint) Serve(ctx context.Context, params json.RawMessage) (any, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "parameters of "+Method)
	}
	return e.handle(ctx, req), nil
}

// Put implements blobio.Peers.
func (e *Endpoint) Put(ctx context.Context, to string, shard int, data []byte) error {
	_, err := e.call(ctx, to, request{Op: opPut, Shard: shard, Data: data})
	return err
}

// Copy implements blobio.Peers.
func (e *Endpoint) Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error {
	_, err := e.call(ctx, to, request{Op: opCopy, Shard: shard, Digest: d, From: from})
	return err
}

// Get implements blobio.Peers.
func (e *Endpoint) Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error) {
	resp, err := e.call(ctx, from, request{Op: opGet, Shard: shard, Digest: d})
	return resp.Data, err
}

// List implements blobio.Peers.
func (e *Endpoint) List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error) {
	resp, err := e.call(ctx, from, request{Op: opList, Shard: shard, Digest: after, Limit: limit})
	return resp.Digests, err
}

// Drop implements blobio.Peers.
func (e *Endpoint) Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error {
	_, err := e.call(ctx, to, request{Op: opDrop, Shard: shard, Epoch: epoch, Digests: d})
	return err
}

func (e *Endpoint) call(ctx context.Context, to string, req request) (resp response, err error) {
	defer func() { err = errors.Wrapf(err, "%s at %s", string(req.Op), to) }()
	if to == e.Name {
		resp = e.handle(ctx, req)
	} else if err := e.Invoke(ctx, to, Method, req, &resp); err != nil {
		return resp, err
	}
	return resp, resp.err(req.Digest)
}

func (e *Endpoint) handle(ctx context.Context, req request) (resp response) {
	err := ErrNoFolder
	if e.Folder != nil {
		resp, err = e.execute(ctx, req)
	}
	return resp.withError(err)
}

func (e *Endpoint) execute(ctx context.Context, req request) (resp response, err error) {
	switch req.Op {
	case opPut:
		_, err = e.Folder.Put(req.Shard, req.Data)
	case opCopy:
		err = e.fetch(ctx, req)
	case opGet:
		resp.Data, err = e.Folder.Get(req.Shard, req.Digest)
	case opList:
		resp.Digests, err = e.Folder.List(req.Shard, req.Digest, min(req.Limit, maxPage))
	case opDrop:
		_, err = e.Folder.Drop(req.Shard, req.Epoch, req.Digests)
	default:
		err = errors.Newf("unknown operation %q", string(req.Op))
	}
	return resp, err
}

// fetch copies a blob from another daemon into this daemon's folder. The digest of
// the received bytes is checked: other bytes would be stored under their own digest,
// and the owner would count a copy that does not exist.
func (e *Endpoint) fetch(ctx context.Context, req request) error {
	data, err := e.Get(ctx, req.From, req.Shard, req.Digest)
	if err != nil {
		return errors.Newf("fetch: %v", err) // not wrapped: ErrNotFound would refer to this folder
	}
	if blobs.Sum(data) != req.Digest {
		return errors.Newf("fetch: data from %s does not match the digest", req.From)
	}
	_, err = e.Folder.Put(req.Shard, data)
	return err
}

func (resp response) withError(err error) response {
	var corrupt *blobs.CorruptError
	switch {
	case err == nil:
		return resp
	case errors.Is(err, blobs.ErrNotFound):
		resp.Code = codeNotFound
	case errors.As(err, &corrupt):
		resp.Code = codeCorrupt
	case errors.Is(err, blobs.ErrFenced):
		resp.Code = codeFenced
	default:
		resp.Code = codeFailed
	}
	resp.Message = err.Error()
	return resp
}

func (resp response) err(d blobs.Digest) error {
	switch resp.Code {
	case "":
		return nil
	case codeNotFound:
		return blobs.ErrNotFound
	case codeCorrupt:
		return &blobs.CorruptError{Digest: d}
	case codeFenced:
		return blobs.ErrFenced
	}
	return errors.New(resp.Message)
}
