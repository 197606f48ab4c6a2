// Package blobs stores bulk text, such as long prompts and answers, outside the
// journal: as immutable blobs named by their digest, in the data folders of the
// few VMs that have one, with two copies in two failure domains.
//
// Folder is one VM's data folder. Holders runs in a shard's owner: it chooses
// the holders of copies, replaces lost copies, and reports when a text must be
// written to the journal because too few folders are up. A blob is stored before
// the journal refers to it. Reads are verified against the digest, so a copy can
// be missing or corrupt, but wrong bytes are never returned.
package blobs

import (
	"encoding/binary"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/fsync"
)

const (
	defaultMaxSize  = 16 << 20
	defaultCapacity = 8 << 30
	defaultMinAge   = 10 * time.Minute

	fenceFile  = "fence"
	tempPrefix = "tmp-"
	dirMode    = 0o700
	fileMode   = 0o600
)

type (
	// Folder is a data folder; all methods are safe for concurrent use. Only
	// one process may use it. Blobs are stored by shard, so that a shard's
	// owner can find the unreferenced ones.
	Folder struct {
		Dir      string
		MaxSize  int           // bytes of one blob
		Capacity int64         // bytes of all blobs
		MinAge   time.Duration // a younger blob is never dropped
		Now      func() time.Time

		once    sync.Once
		openErr error

		mu     sync.Mutex
		used   int64
		fences map[int]uint64 // highest epoch seen of each shard
	}

	// CorruptError reports a blob whose bytes do not match its digest. Get
	// removes it, so that the blob can be stored again.
	CorruptError struct {
		Digest Digest
	}
)

var (
	// ErrNotFound reports a blob that the folder does not have.
	ErrNotFound = errors.New("blobs: not found")
	// ErrTooLarge reports a blob above MaxSize.
	ErrTooLarge = errors.New("blobs: blob too large")
	// ErrFull reports that the blob would exceed the folder's capacity.
	ErrFull = errors.New("blobs: folder is full")
	// ErrFenced reports a request from a former owner of the shard.
	ErrFenced = errors.New("blobs: refused: the epoch is that of a former owner")
)

func (e *CorruptError) Error() string { return "blobs: corrupt: " + e.Digest.String() }

// Put stores data and returns its digest once it is on the disk. If the blob is
// there already, its age starts again from zero.
func (f *Folder) Put(shard int, data []byte) (d Digest, err error) {
	defer func() { err = errors.Wrap(err, "put blob") }()
	if err := f.open(); err != nil {
		return d, err
	}
	if len(data) > f.maxSize() {
		return d, ErrTooLarge
	}
	d = Sum(data)
	if f.refresh(f.path(shard, d), d) {
		return d, nil
	}
	if err := f.reserve(int64(len(data))); err != nil {
		return d, err
	}
	if err := f.writeBlob(f.path(shard, d), data); err != nil {
		f.unreserve(int64(len(data)))
		return d, err
	}
	return d, nil
}

// Get reads a blob and checks it against its digest. Disks return wrong bytes
// at times; without the check a program would continue with a wrong history.
func (f *Folder) Get(shard int, d Digest) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "get blob") }()
	if err := f.open(); err != nil {
		return nil, err
	}
	data, err = os.ReadFile(f.path(shard, d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	if Sum(data) != d {
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, errors.CombineErrors(&CorruptError{Digest: d}, f.remove(f.path(shard, d)))
	}
	return data, nil
}

// Used returns the total size of all blobs in bytes.
func (f *Folder) Used() (int64, error) {
	err := f.open()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used, err
}

// open prepares the folder at the first call: it removes temporary files that a
// crash left, reads the fences and adds up the sizes of the blobs.
func (f *Folder) open() error {
	f.once.Do(func() {
		f.fences = map[int]uint64{}
		if f.openErr = os.MkdirAll(f.Dir, dirMode); f.openErr == nil {
			f.openErr = filepath.WalkDir(f.Dir, f.scanEntry)
		}
	})
	return f.openErr
}

func (f *Folder) scanEntry(path string, e fs.DirEntry, err error) error {
	if err != nil || e.IsDir() {
		return err
	}
	if isTemp(e.Name()) {
		return os.Remove(path)
	}
	if e.Name() == fenceFile {
		return f.loadFence(path)
	}
	info, err := e.Info()
	if err == nil {
		f.used += info.Size()
	}
	return err
}

func (f *Folder) loadFence(path string) error {
	shard, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(path) //nolint:gosec // below the data folder
	if err == nil && len(raw) == 8 {
		f.fences[shard] = binary.BigEndian.Uint64(raw)
	}
	return err
}

// refresh reports whether an intact copy of the blob is there, and sets its age
// to zero: an unreferenced blob that is stored again must not be dropped before
// the journal refers to it. A corrupt copy is removed.
func (f *Folder) refresh(path string, d Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := os.ReadFile(path) //nolint:gosec // below the data folder
	if err != nil {
		return false
	}
	if Sum(data) != d {
		_ = f.remove(path)
		return false
	}
	now := f.now()
	return os.Chtimes(path, now, now) == nil
}

func (f *Folder) reserve(n int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used+n > f.capacity() {
		return ErrFull
	}
	f.used += n
	return nil
}

func (f *Folder) unreserve(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used -= n
}

// writeBlob creates the file atomically: a machine that fails in the middle of a
// plain write would leave a truncated blob under its final name, which the
// shard's owner would count as a copy.
func (f *Folder) writeBlob(path string, data []byte) (err error) {
	temp, err := f.writeTemp(filepath.Dir(path), data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if info, err := os.Stat(path); err == nil {
		f.used -= info.Size() // another caller stored it first
	}
	return renameSynced(temp, path)
}

// writeTemp writes data to a temporary file, which readers ignore.
func (f *Folder) writeTemp(dir string, data []byte) (temp string, err error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return "", err
	}
	t, err := os.CreateTemp(dir, tempPrefix)
	if err != nil {
		return "", err
	}
	err = writeAndSync(t, data)
	if err == nil {
		now := f.now()
		err = os.Chtimes(t.Name(), now, now)
	}
	if err != nil {
		_ = os.Remove(t.Name())
	}
	return t.Name(), err
}

// renameSynced gives a temporary file its final name and syncs the directory.
func renameSynced(temp, path string) error {
	if err := os.Rename(temp, path); err != nil {
		_ = os.Remove(temp)
		return err
	}
	return fsync.Dir(filepath.Dir(path))
}

func writeAndSync(t *os.File, data []byte) error {
	_, err := t.Write(data)
	if err == nil {
		err = t.Chmod(fileMode)
	}
	if err == nil {
		err = t.Sync()
	}
	return errors.CombineErrors(err, t.Close())
}

func (f *Folder) path(shard int, d Digest) string {
	name := d.String()
	return filepath.Join(f.shardDir(shard), name[:2], name)
}

func (f *Folder) shardDir(shard int) string { return filepath.Join(f.Dir, strconv.Itoa(shard)) }

func (f *Folder) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

func (f *Folder) maxSize() int {
	if f.MaxSize <= 0 {
		return defaultMaxSize
	}
	return f.MaxSize
}

func (f *Folder) capacity() int64 {
	if f.Capacity <= 0 {
		return defaultCapacity
	}
	return f.Capacity
}
