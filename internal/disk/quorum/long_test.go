package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/recsrv"
)

const (
	longHistories = 24
	longPrograms  = 3
	longSteps     = 90
)

// pass lets time pass, in which each server trims its log as often as in service.
func (cl *cluster) pass(d time.Duration) {
	for range d / recsrv.TrimInterval {
		time.Sleep(recsrv.TrimInterval)
		cl.mu.Lock()
		servers := make([]*recsrv.Server, 0, len(cl.servers))
		for _, s := range cl.servers {
			servers = append(servers, s)
		}
		cl.mu.Unlock()
		for _, s := range servers {
			s.Learn(cl.current())
			is.New(cl.t).NoErr(s.Trim(context.Background()))
		}
	}
}

// Guards against turns and charges that are lost with a segment of the log while their programs go on for
// many times the retention, whatever befalls the replicas.
func TestLongHistories(t *testing.T) {
	for seed := range uint64(longHistories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLongHistory(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func runLongHistory(t *testing.T, rnd *rand.Rand) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	defer cl.closeAll()
	client := cl.client()
	last := make([]string, longPrograms)
	turns := make([]int, longPrograms)
	reserved := make([]map[string]int, longPrograms)
	for step := range longSteps {
		clearFaults(cl)
		switch rnd.IntN(8) {
		case 0:
			injectFaults(cl, rnd, 1)
		case 1:
			replaceDisk(t, cl, rnd)
			clearFaults(cl)
		case 2, 3:
			cl.restart(cl.current().Replicas[rnd.IntN(3)].Address)
		}
		n := step % longPrograms // each goes on well within the retention of 60 s
		program := fmt.Sprint("p", n)
		next := turn(fmt.Sprint(program, "-", step), last[n])
		next.Program, next.At = program, time.Now().UnixMilli()
		write(t, client, next)
		last[n], turns[n] = next.Attempt, turns[n]+1
		chain, err := client.Read(t.Context(), program, last[n])
		is.NoErr(err)
		is.Equal(len(chain), turns[n])

		if reserved[n] == nil {
			reserved[n] = map[string]int{}
		}
		charge := reserve(program, fmt.Sprint("r", step), step+1)
		charge.At = time.Now().UnixMilli()
		res, err := client.Write(t.Context(), charge)
		is.NoErr(err)
		reserved[n][charge.Attempt] = step + 1
		checkCharges(is, res, reserved[n])
		cl.pass(time.Duration(3+rnd.IntN(13)) * time.Second)
	}
}

func (cl *cluster) closeAll() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, s := range cl.servers {
		_ = s.Close()
	}
}
