package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	chains     = 120
	bulkBytes  = 160 << 10
	bulkPerS   = 20
	secondAt   = 45 * time.Second         // after the first turns
	wipeAt     = 82300 * time.Millisecond // after the start of the processes: the first turns' programs are 80 s old
	downFor    = 900 * time.Millisecond
	continueAt = 90 * time.Second
	tries      = 6
	triesPause = 700 * time.Millisecond
)

// expire: programs continue from turns of other programs, a store machine loses its disk when
// the records of the first programs are over their own retention, and the chains are continued
// once the disk is copied.
func expire(ctx context.Context, w *world, trouble bool) (int, error) {
	w.config = turnRoutes()
	for i := range 3 {
		w.workers = append(w.workers, &worker{id: fmt.Sprintf("i-%d", i), service: "model", zone: i, delay: 5 * time.Millisecond, slots: 64})
	}
	if err := w.start(ctx, 2, 3); err != nil {
		return 0, err
	}
	began := time.Now()
	wait := func(until time.Duration) { time.Sleep(time.Until(began.Add(until))) }

	// first turns, each of a program of its own
	first := w.each(func(i int) string {
		id, _ := w.turn(ctx, "/turn/a", fmt.Sprintf("x%d", i), fmt.Sprintf("p%d", i), "", []byte(fmt.Sprintf("input x%d;", i)), 3, 200*time.Millisecond)
		return id
	})
	w.note("%d first turns are answered whole", count(first))
	if count(first) < chains {
		return 0, fmt.Errorf("first turns failed without trouble")
	}
	// other programs, whose records fill the disks
	bulkCtx, stopBulk := context.WithCancel(ctx)
	defer stopBulk()
	go w.bulk(bulkCtx)

	wait(secondAt)
	second := w.each(func(i int) string {
		id, _ := w.turn(ctx, "/turn/a", fmt.Sprintf("y%d", i), fmt.Sprintf("q%d", i), first[i], []byte(fmt.Sprintf("input y%d;", i)), 3, 200*time.Millisecond)
		return id
	})
	secondDone := time.Now()
	w.note("%d second turns are answered whole", count(second))
	if count(second) < chains {
		return 0, fmt.Errorf("second turns failed without trouble")
	}
	time.Sleep(time.Until(w.up.Add(wipeAt)))
	stopBulk()
	if trouble {
		b := w.disks[1]
		b.stop(syscall.SIGKILL)
		if err := os.RemoveAll(b.dir); err != nil {
			return 0, err
		}
		w.note("%s has lost its disk", b.name)
		time.Sleep(downFor)
		if err := b.start(false); err != nil {
			return 0, err
		}
		for w.roster().Joining() == 0 && time.Since(began) < continueAt {
			time.Sleep(5 * time.Millisecond)
		}
		w.note("roster: a replica is joining")
		for w.roster().Joining() > 0 && time.Since(began) < continueAt {
			time.Sleep(5 * time.Millisecond)
		}
		w.note("roster: %d replicas, %d joining", len(w.roster().Replicas), w.roster().Joining())
	}
	wait(continueAt)
	// third turns: new programs continue from the second ones; beside them, first turns of others
	news := make([]string, chains)
	third := w.each(func(i int) string {
		news[i], _ = w.turn(ctx, "/turn/a", fmt.Sprintf("n%d", i), fmt.Sprintf("m%d", i), "", []byte("new;"), 1, 0)
		id, _ := w.turn(ctx, "/turn/a", fmt.Sprintf("z%d", i), fmt.Sprintf("r%d", i), second[i], []byte(fmt.Sprintf("input z%d;", i)), tries, triesPause)
		return id
	})
	lost, wrong := 0, 0
	for i, id := range third {
		switch {
		case id == "" && !w.reached(fmt.Sprintf("z%d", i)):
			lost++
		case id != "":
			want := fmt.Sprintf("input x%d;", i) + outputOf(first[i]) + fmt.Sprintf("input y%d;", i) + outputOf(second[i]) + fmt.Sprintf("input z%d;", i)
			if got := string(w.ran(id)[0].body); got != want {
				wrong++
				w.note("%s ran with another body: %q", id, short(got))
			}
		}
	}
	w.note("third turns, sent up to %.0f s after the turns that they continue were answered whole: %d answered, %d reached no worker in %d tries, %d ran with a wrong body; new programs: %d of %d first turns answered",
		time.Since(secondDone).Seconds(), count(third), lost, tries, wrong, count(news), chains)
	if 10*count(news) < 9*chains {
		return 0, fmt.Errorf("first turns are not served")
	}
	if lost+wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// reached reports whether an attempt whose name begins so has reached a worker.
func (w *world) reached(name string) bool {
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.runs {
			if strings.HasPrefix(r.id, name+"-") {
				k.mu.Unlock()
				return true
			}
		}
		k.mu.Unlock()
	}
	return false
}

// each does something for each chain, ten at a time.
func (w *world) each(do func(i int) string) []string { return w.parallelAtMost(chains, 10, do) }

// parallel does something so many times at once.
func (w *world) parallel(n int, do func(i int) string) []string { return w.parallelAtMost(n, n, do) }

func (w *world) parallelAtMost(n, most int, do func(i int) string) []string {
	out := make([]string, n)
	var work sync.WaitGroup
	slots := make(chan struct{}, most)
	for i := range n {
		slots <- struct{}{}
		work.Go(func() {
			out[i] = do(i)
			<-slots
		})
	}
	work.Wait()
	return out
}

// bulk sends turns of other programs until ctx ends.
func (w *world) bulk(ctx context.Context) {
	body := []byte(strings.Repeat("text ", bulkBytes/5))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Second / bulkPerS)
		go func() {
			a := &attempt{path: "/turn/a", id: fmt.Sprintf("b%d", n), program: fmt.Sprintf("bp%d", n), session: "s", budget: 4000, body: body}
			w.send(ctx, a)
			if !a.whole() && ctx.Err() == nil {
				w.note("%s: status %d, %v", a.id, a.status, a.err)
			}
		}()
	}
}

func count(ids []string) (n int) {
	for _, id := range ids {
		if id != "" {
			n++
		}
	}
	return n
}
