// Package blobs keeps bulk text, such as long prompts and answers, outside the
// journal: as immutable blobs named by their digest, in the data folders of the
// few VMs that have one, two copies in two failure domains.
//
// Folder is one VM's data folder. Holders runs in a shard's owner: it chooses
// where copies go, notices lost ones and has them made again, and tells when
// text must stay in the journal because too few folders are up. A blob's text
// is stored before the journal refers to it, and nothing but its digest is
// trusted: what is read is checked against it, so a copy can be missing or
// spoilt but never wrong.
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

	"github.com/slaterock/slaterock/internal/disk/synced"
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
	// Folder is a data folder; all methods are safe for concurrent use. It
	// belongs to one process. Blobs of different shards are kept apart, so
	// that a shard's owner can tell which ones nobody needs.
	Folder struct {
		Dir      string
		MaxSize  int           // bytes of one blob
		Capacity int64         // bytes of all blobs
		MinAge   time.Duration // a blob younger than that is never dropped
		Now      func() time.Time

		once    sync.Once
		openErr error

		mu     sync.Mutex
		used   int64
		fences map[int]uint64
	}

	// CorruptError reports a blob whose bytes are not what was stored. It has
	// been removed, so that another copy can take its place.
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
	// ErrFenced reports an order from a former owner of the shard.
	ErrFenced = errors.New("blobs: old epoch")
)

// Error names the blob.
func (e *CorruptError) Error() string { return "blobs: corrupt: " + e.Digest.String() }

// Put stores data and returns its digest once it is on the disk. Storing what
// is there already renews its age.
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
// at times; without the check a program would go on from a history that it
// never had.
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

// Used returns the bytes of all blobs.
func (f *Folder) Used() (int64, error) {
	err := f.open()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used, err
}

// open prepares the folder at the first call: it removes what a crash left half
// written and adds up what is there.
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

// renew tells whether the blob is there and sound, and makes it young again: a
// blob that nobody needed so far must not be dropped while its new user is
// about to write down that it needs it.
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

// place makes the file appear whole or not at all: a machine that fails in the
// middle of a plain write would leave a blob under its final name that nobody
// ever replaces.
func (f *Folder) writeBlob(path string, data []byte) (err error) {
	temp, err := f.writeTemp(filepath.Dir(path), data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if info, err := os.Stat(path); err == nil {
		f.used -= info.Size() // another caller was faster
	}
	return renameSynced(temp, path)
}

// stage writes data to a file that no reader sees yet.
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

// settle gives a staged file its name.
func renameSynced(temp, path string) error {
	if err := os.Rename(temp, path); err != nil {
		_ = os.Remove(temp)
		return err
	}
	return synced.Dir(filepath.Dir(path))
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
