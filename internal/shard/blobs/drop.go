package blobs

import (
	"encoding/binary"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// List returns, sorted, up to limit digests of the shard that are greater than
// after. The zero digest starts from the beginning.
func (f *Folder) List(shard int, after Digest, limit int) (out []Digest, err error) {
	defer func() { err = errors.Wrap(err, "list blobs") }()
	if err := f.open(); err != nil {
		return nil, err
	}
	prefixes, err := listNames(f.shardDir(shard))
	if err != nil {
		return nil, err
	}
	from := after.String()
	for _, prefix := range prefixes {
		if prefix < from[:2] || prefix == fenceFile {
			continue
		}
		files, err := listNames(filepath.Join(f.shardDir(shard), prefix))
		if err != nil {
			return nil, err
		}
		for _, name := range files {
			if d, err := Parse(name); err == nil && name > from {
				out = append(out, d)
			}
			if len(out) == limit {
				return out, nil
			}
		}
	}
	return out, nil
}

// Drop removes blobs that the shard's owner no longer needs and returns how many
// were removed. Those younger than MinAge stay, since a reference to them may not
// have been written yet. An owner with an epoch below the highest seen gets
// ErrFenced: it has lost the shard, perhaps without having noticed, and the
// blobs may be needed by the next owner.
func (f *Folder) Drop(shard int, epoch uint64, digests []Digest) (dropped int, err error) {
	defer func() { err = errors.Wrap(err, "drop blobs") }()
	if err := f.open(); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fence(shard, epoch); err != nil {
		return 0, err
	}
	for _, d := range digests {
		ok, err := f.dropIfOld(f.path(shard, d))
		if err != nil {
			return dropped, err
		}
		if ok {
			dropped++
		}
	}
	return dropped, nil
}

// fence returns ErrFenced if epoch is below the highest one seen for the shard.
// A higher one is stored on the disk, so that it survives a restart.
func (f *Folder) fence(shard int, epoch uint64) error {
	if epoch < f.fences[shard] {
		return ErrFenced
	}
	if epoch == f.fences[shard] {
		return nil
	}
	raw := binary.BigEndian.AppendUint64(nil, epoch)
	temp, err := f.writeTemp(f.shardDir(shard), raw)
	if err != nil {
		return err
	}
	if err := renameSynced(temp, filepath.Join(f.shardDir(shard), fenceFile)); err != nil {
		return err
	}
	f.fences[shard] = epoch
	return nil
}

func (f *Folder) dropIfOld(path string) (bool, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil || f.now().Sub(info.ModTime()) < f.minAge() {
		return false, err
	}
	return true, f.remove(path)
}

// remove deletes a file and subtracts its size from used; the caller holds the
// mutex.
func (f *Folder) remove(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if err := os.Remove(path); err != nil {
		return err
	}
	f.used -= info.Size()
	return nil
}

func (f *Folder) minAge() time.Duration {
	if f.MinAge <= 0 {
		return defaultMinAge
	}
	return f.MinAge
}

func listNames(dir string) (out []string, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		if !isTemp(e.Name()) {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, err
}

func isTemp(name string) bool { return strings.HasPrefix(name, tempPrefix) }
