package xfer

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/blobs"
)

var (
	_ blobio.Peers = (*Endpoint)(nil)

	errUnreachable = errors.New("link is down")
)

// network connects endpoints as a link would: through JSON.
type network map[string]*Endpoint

func (n network) invoke(ctx context.Context, to, method string, params, out any) error {
	e, ok := n[to]
	if !ok || method != Method {
		return errUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	a, err := e.Serve(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(a); err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// newNetwork returns a network of the daemons a and b, with a folder, and bare,
// without one, and the endpoint of bare.
func newNetwork(t *testing.T) (*Endpoint, network) {
	n := network{}
	for _, name := range []string{"a", "b", "bare"} {
		n[name] = &Endpoint{Name: name, Invoke: n.invoke}
		if name != "bare" {
			n[name].Folder = &blobs.Folder{Dir: t.TempDir()}
		}
	}
	return n["bare"], n
}

func overwrite(is *is.I, f *blobs.Folder, d blobs.Digest) {
	is.NoErr(filepath.WalkDir(f.Dir, func(path string, e fs.DirEntry, err error) error {
		if err == nil && e.Name() == d.String() {
			err = os.WriteFile(path, []byte("TEXT"), 0o600)
		}
		return err
	}))
}

func TestEndpoint(t *testing.T) {
	text := []byte("text")
	d := blobs.Sum(text)
	tests := map[string]func(ctx context.Context, is *is.I, e *Endpoint, n network){
		"put, list, get": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			is.NoErr(e.Put(ctx, "a", 3, text))
			list, err := e.List(ctx, "a", 3, blobs.Digest{}, 10)
			is.NoErr(err)
			is.Equal(list, []blobs.Digest{d})
			got, err := e.Get(ctx, "a", 3, d)
			is.NoErr(err)
			is.Equal(got, text)
		},
		"own folder": func(ctx context.Context, is *is.I, _ *Endpoint, n network) {
			is.NoErr(n["a"].Put(ctx, "a", 3, text))
			_, err := n["a"].Get(ctx, "a", 3, d)
			is.NoErr(err)
		},
		"copy": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			is.NoErr(e.Put(ctx, "a", 3, text))
			is.NoErr(e.Copy(ctx, "b", "a", 3, d))
			got, err := e.Get(ctx, "b", 3, d)
			is.NoErr(err)
			is.Equal(got, text)
		},
		// The holder does not have the blob. The reader must get ErrNotFound, so
		// that the copy is made again.
		"not found": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			_, err := e.Get(ctx, "a", 3, d)
			is.True(errors.Is(err, blobs.ErrNotFound))
		},
		"spoilt": func(ctx context.Context, is *is.I, e *Endpoint, n network) {
			is.NoErr(e.Put(ctx, "a", 3, text))
			overwrite(is, n["a"].Folder, d)
			_, err := e.Get(ctx, "a", 3, d)
			var corrupt *blobs.CorruptError
			is.True(errors.As(err, &corrupt))
			is.Equal(corrupt.Digest, d)
		},
		// The holder can't be reached, so it is unknown which blobs it has. If
		// this counted as "not found", each short link failure would cause
		// copies of all of them.
		"not reached": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			_, err := e.Get(ctx, "gone", 3, d)
			is.True(errors.Is(err, errUnreachable))
			is.True(!errors.Is(err, blobs.ErrNotFound))
		},
		// The source of a copy lacks the blob. The destination must not return
		// ErrNotFound, which would refer to its own folder.
		"source lacks it": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			err := e.Copy(ctx, "b", "a", 3, d)
			is.True(err != nil)
			is.True(!errors.Is(err, blobs.ErrNotFound))
		},
		// The source sends bytes with another digest. They must not be stored.
		"source sends another": func(ctx context.Context, is *is.I, e *Endpoint, n network) {
			n["b"].Invoke = func(_ context.Context, _, _ string, _, out any) error {
				*out.(*response) = response{Data: []byte("TEXT")}
				return nil
			}
			is.True(e.Copy(ctx, "b", "a", 3, d) != nil)
			used, err := n["b"].Folder.Used()
			is.NoErr(err)
			is.Equal(used, int64(0))
		},
		"former owner's drop": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			is.NoErr(e.Drop(ctx, "a", 3, 5, nil))
			is.True(errors.Is(e.Drop(ctx, "a", 3, 4, nil), blobs.ErrFenced))
		},
		"no folder": func(ctx context.Context, is *is.I, e *Endpoint, n network) {
			is.True(n["a"].Put(ctx, "bare", 3, text) != nil)
			is.True(e.Put(ctx, "bare", 3, text) != nil)
		},
		"unknown operation": func(ctx context.Context, is *is.I, e *Endpoint, _ network) {
			_, err := e.call(ctx, "a", request{Op: "burn"})
			is.True(err != nil)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e, n := newNetwork(t)
			tt(t.Context(), is.New(t), e, n)
		})
	}
}

func TestServeRejectsInvalidParams(t *testing.T) {
	is := is.New(t)
	e, _ := newNetwork(t)
	_, err := e.Serve(t.Context(), json.RawMessage(`[]`))
	is.True(err != nil)
}
