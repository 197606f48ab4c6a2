package seglog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// play is a log on a testDisk with what it has acknowledged.
type play struct {
	*testing.T
	disk    *testDisk
	log     *Log
	acked   []string // in order
	where   map[string]Pos
	tried   int
	doubted []string // read at the last start: acknowledged with the next record
}

func newPlay(t *testing.T) *play {
	p := &play{T: t, disk: newTestDisk(), where: map[string]Pos{}}
	p.open()
	return p
}

func (p *play) open() {
	p.Helper()
	p.log = &Log{Files: p.disk, Segment: 100}
	var seen []string
	err := p.log.Open(func(pos Pos, rec []byte) {
		seen = append(seen, string(rec))
		p.where[string(rec)] = pos
	})
	is.New(p.T).NoErr(err)
	for _, rec := range p.acked {
		if !slices.Contains(seen, rec) {
			p.Fatalf("%s was acknowledged and is not there, of %v", rec, seen)
		}
	}
	p.doubted = seen
}

// restart has another process open the files, after a loss of power if power is set.
func (p *play) restart(power bool) {
	p.Helper()
	is.New(p.T).NoErr(p.log.Close())
	if power {
		p.disk = p.disk.losePower()
	}
	p.open()
}

// write appends a record, and reports whether it was acknowledged.
func (p *play) write() bool {
	p.tried++
	text := fmt.Sprint("record ", p.tried)
	type result struct {
		pos Pos
		err error
	}
	done := make(chan result, 1)
	p.log.Append([]byte(text), func(pos Pos, err error) { done <- result{pos, err} })
	r := <-done
	if r.err != nil {
		return false
	}
	p.where[text] = r.pos
	for _, rec := range append(p.doubted, text) {
		if !slices.Contains(p.acked, rec) {
			p.acked = append(p.acked, rec)
		}
	}
	p.doubted = nil
	return true
}

// check checks that the log tells what it has acknowledged, and nothing else that was written since it opened.
func (p *play) check() {
	p.Helper()
	is := is.New(p.T)
	for _, text := range p.acked {
		rec, err := p.log.Read(p.where[text])
		is.NoErr(err)
		is.Equal(string(rec), text)
	}
	var scanned []string
	for from := (Pos{}); ; {
		recs, _, after, err := p.log.Scan(from, 40)
		is.NoErr(err)
		if len(recs) == 0 {
			break
		}
		for _, rec := range recs {
			scanned = append(scanned, string(rec))
		}
		from = after
	}
	for _, rec := range p.acked {
		is.True(slices.Contains(scanned, rec))
	}
	for _, rec := range scanned {
		is.True(slices.Contains(p.acked, rec) || slices.Contains(p.doubted, rec))
	}
}

// Guards against a log that loses records, tells others than it has acknowledged, or ends the process, once its disk has refused something.
func TestDiskThatRefuses(t *testing.T) {
	cases := map[string]struct {
		fail    func(*testDisk)
		records int // written before, of which some fill a segment
	}{
		"no room":                           {func(d *testDisk) { d.full = true }, 2},
		"no room for the end of a record":   {func(d *testDisk) { d.full, d.short = true, 15 }, 2},
		"no room for the second record":     {func(d *testDisk) { d.full, d.short = true, 18 }, 2},
		"no room in a new segment":          {func(d *testDisk) { d.full, d.short = true, 15 }, 6},
		"no room and no new files":          {func(d *testDisk) { d.full, d.fails[opCreate] = true, -1 }, 2},
		"one sync":                          {func(d *testDisk) { d.fails[opSync] = 1 }, 2},
		"all syncs":                         {func(d *testDisk) { d.fails[opSync] = -1 }, 2},
		"one sync, then no new file":        {func(d *testDisk) { d.fails[opSync], d.fails[opCreate] = 1, -1 }, 2},
		"no new file after a full segment":  {func(d *testDisk) { d.fails[opCreate] = -1 }, 6},
		"no new name after a full segment":  {func(d *testDisk) { d.fails[opNames] = -1 }, 6},
		"a sync, and the tail can't be cut": {func(d *testDisk) { d.fails[opSync], d.fails[opTruncate] = 1, -1 }, 2},
		"a write, the tail can't be cut":    {func(d *testDisk) { d.fails[opWrite], d.fails[opTruncate], d.short = 1, -1, 40 }, 2},
		"all, in a new segment": {func(d *testDisk) {
			d.fails = map[string]int{opWrite: -1, opSync: -1, opRemove: -1, opTruncate: -1, opCreate: -1}
		}, 6},
		"writes, and files can't be removed": {func(d *testDisk) { d.full, d.fails[opRemove] = true, -1 }, 6},
	}
	for name, c := range cases {
		for power, how := range map[bool]string{false: "process restarts", true: "power is lost"} {
			t.Run(name+", "+how, func(t *testing.T) {
				is := is.New(t)
				p := newPlay(t)
				for range c.records {
					is.True(p.write())
				}
				p.disk.set(func() { c.fail(p.disk) })
				for range 3 {
					p.write()
				}
				p.check()
				refused := p.tried > len(p.acked)
				is.True(refused)
				p.disk.set(func() { p.disk.full, p.disk.short, p.disk.fails = false, 0, map[string]int{} })
				for range 8 {
					is.True(p.write()) // there is room again
				}
				p.check()
				p.restart(power)
				is.True(p.write())
				p.check()
				p.restart(true)
				is.NoErr(p.log.Close())
			})
		}
	}
}

// Guards against a full disk at the start, on which nothing can be read or the process ends.
func TestOpenOnDiskThatRefuses(t *testing.T) {
	for name, fail := range map[string]func(*testDisk){
		"no new file": func(d *testDisk) { d.fails[opCreate] = -1 },
		"no room":     func(d *testDisk) { d.full, d.short = true, 15 },
		"no new name": func(d *testDisk) { d.fails[opNames] = -1 },
		"no sync":     func(d *testDisk) { d.fails[opSync] = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlay(t)
			for range 7 {
				is.True(p.write())
			}
			p.disk.set(func() { fail(p.disk) })
			p.restart(false)
			is.True(!p.write())
			p.check()
			p.disk.set(func() { p.disk.full, p.disk.short, p.disk.fails = false, 0, map[string]int{} })
			is.True(p.write())
			p.check()
			p.restart(true)
			is.NoErr(p.log.Close())
		})
	}
}

// Guards against a record that a process wrote and did not sync, which the next one reads, counts as durable and loses.
func TestRecordReadAtStartIsDurableWithTheNext(t *testing.T) {
	for name, failures := range map[string]int{"synced at the start": 0, "sync at the start fails": 1, "two syncs fail": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlay(t)
			is.True(p.write())
			is.NoErr(p.log.Close())
			p.disk.set(func() {
				f := p.disk.files[fileName(1)]
				other := appendRecord(nil, []byte("left by a process"))
				f.cached = append(f.cached, other...)
				f.dirty = append(f.dirty, span{len(f.cached) - len(other), len(f.cached)})
				p.disk.fails[opSync] = failures
			})
			p.open()
			is.Equal(p.doubted, []string{"record 1", "left by a process"})
			for !p.write() {
			}
			p.check()
			p.restart(true)
			is.NoErr(p.log.Close())
		})
	}
}

// Guards against any order of faults, restarts and losses of power that loses a record, or tells one that was not acknowledged.
func TestAnyOrderOfDiskFaults(t *testing.T) {
	ops := []string{opCreate, opWrite, opSync, opTruncate, opRemove, opNames}
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		p := newPlay(t)
		for range 60 {
			switch n := rnd.IntN(20); {
			case n < 10:
				p.write()
			case n < 14:
				p.disk.set(func() { p.disk.fails[ops[rnd.IntN(len(ops))]] = rnd.IntN(3) })
			case n < 16:
				p.disk.set(func() { p.disk.full, p.disk.short = rnd.IntN(2) == 0, rnd.IntN(40) })
			case n < 17:
				p.disk.set(func() { p.disk.fails = map[string]int{} })
			case n < 18:
				p.check()
			case n == 18 && p.log.torn == 0: // a tail that can't be cut off is not told from records by another process
				p.restart(false)
			default:
				p.restart(true)
			}
		}
		p.disk.set(func() { p.disk.full, p.disk.fails = false, map[string]int{} })
		is.New(t).True(p.write())
		p.check()
		p.restart(true)
		is.New(t).NoErr(p.log.Close())
	}
}
