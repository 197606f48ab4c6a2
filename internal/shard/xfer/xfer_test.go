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

	errUnreached = errors.New("link is down")
)

// fleet joins shelves as a link would: through JSON.
type network map[string]*Endpoint

func (f network) invoke(ctx context.Context, to, method string, params, out any) error {
	s, ok := f[to]
	if !ok || method != Method {
		return errUnreached
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	a, err := s.Serve(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(a); err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// owner returns the shelf of a daemon without folder, beside a and b with one.
func newNetwork(t *testing.T) (*Endpoint, network) {
	f := network{}
	for _, name := range []string{"a", "b", "bare"} {
		f[name] = &Endpoint{Name: name, Invoke: f.invoke}
		if name != "bare" {
			f[name].Folder = &blobs.Folder{Dir: t.TempDir()}
		}
	}
	return f["bare"], f
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
	tests := map[string]func(ctx context.Context, is *is.I, s *Endpoint, f network){
		"put, list, get": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			is.NoErr(s.Put(ctx, "a", 3, text))
			list, err := s.List(ctx, "a", 3, blobs.Digest{}, 10)
			is.NoErr(err)
			is.Equal(list, []blobs.Digest{d})
			got, err := s.Get(ctx, "a", 3, d)
			is.NoErr(err)
			is.Equal(got, text)
		},
		"own folder": func(ctx context.Context, is *is.I, _ *Endpoint, f network) {
			is.NoErr(f["a"].Put(ctx, "a", 3, text))
			_, err := f["a"].Get(ctx, "a", 3, d)
			is.NoErr(err)
		},
		"copy": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			is.NoErr(s.Put(ctx, "a", 3, text))
			is.NoErr(s.Copy(ctx, "b", "a", 3, d))
			got, err := s.Get(ctx, "b", 3, d)
			is.NoErr(err)
			is.Equal(got, text)
		},
		// The blob is not there, and its reader must learn just that: its copy
		// is made again.
		"not found": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			_, err := s.Get(ctx, "a", 3, d)
			is.True(errors.Is(err, blobs.ErrNotFound))
		},
		"spoilt": func(ctx context.Context, is *is.I, s *Endpoint, f network) {
			is.NoErr(s.Put(ctx, "a", 3, text))
			overwrite(is, f["a"].Folder, d)
			_, err := s.Get(ctx, "a", 3, d)
			var corrupt *blobs.CorruptError
			is.True(errors.As(err, &corrupt))
			is.Equal(corrupt.Digest, d)
		},
		// The holder can't be reached. That tells nothing about its blobs;
		// taken for "not found", each short break would copy all of them.
		"not reached": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			_, err := s.Get(ctx, "gone", 3, d)
			is.True(errors.Is(err, errUnreached))
			is.True(!errors.Is(err, blobs.ErrNotFound))
		},
		// The source of a copy lacks the blob. The taker's answer must not
		// read as if the taker were asked for it.
		"source lacks it": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			err := s.Copy(ctx, "b", "a", 3, d)
			is.True(err != nil)
			is.True(!errors.Is(err, blobs.ErrNotFound))
		},
		// The source sends other bytes than it was asked for. They must not
		// count as a copy.
		"source sends another": func(ctx context.Context, is *is.I, s *Endpoint, f network) {
			f["b"].Invoke = func(_ context.Context, _, _ string, _, out any) error {
				*out.(*response) = response{Data: []byte("TEXT")}
				return nil
			}
			is.True(s.Copy(ctx, "b", "a", 3, d) != nil)
			used, err := f["b"].Folder.Used()
			is.NoErr(err)
			is.Equal(used, int64(0))
		},
		"former owner's drop": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			is.NoErr(s.Drop(ctx, "a", 3, 5, nil))
			is.True(errors.Is(s.Drop(ctx, "a", 3, 4, nil), blobs.ErrFenced))
		},
		"no folder": func(ctx context.Context, is *is.I, s *Endpoint, f network) {
			is.True(f["a"].Put(ctx, "bare", 3, text) != nil)
			is.True(s.Put(ctx, "bare", 3, text) != nil)
		},
		"unknown operation": func(ctx context.Context, is *is.I, s *Endpoint, _ network) {
			_, err := s.call(ctx, "a", request{Op: "burn"})
			is.True(err != nil)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, f := newNetwork(t)
			tt(t.Context(), is.New(t), s, f)
		})
	}
}

func TestServeRefusesWhatIsNoCall(t *testing.T) {
	is := is.New(t)
	s, _ := newNetwork(t)
	_, err := s.Serve(t.Context(), json.RawMessage(`[]`))
	is.True(err != nil)
}
