package proxy

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/ended"
	"github.com/slaterock/slaterock/internal/front/runio"
)

// What a request did at upstreams is known to three other fronts, which are told before and after each run, and to
// the durable records, which are told after a run without a whole good answer. A request runs only if one of the two
// has answered what its other attempts did, and knows that it is about to run: no answer does not mean that there
// was nothing.

const (
	// doubtTimeout is how long a request waits for the records although other fronts have answered: some front is
	// not heard of, which may have told the records only.
	doubtTimeout = 100 * time.Millisecond
	// askRetry is how long records that did not answer in time are not asked again.
	askRetry = time.Second
	// frozenTime is the delay of a timeout from which on this front counts as having been frozen.
	frozenTime = 250 * time.Millisecond
	// recordSpan is how long a write of runs is tried. Callers come back for about as long.
	recordSpan = 15 * time.Second
	// maxRunWrites bounds the writes of runs under way, for the time in which the records are away.
	maxRunWrites = 512
)

// announce tells other fronts that a run of the request is about to begin, and learns what its other attempts did.
// It returns errRunsUnknown if nobody can tell, or nobody would know of this run.
func (q *request) announce(ctx context.Context) error {
	if !q.repeats() || q.under%2 == 1 {
		return nil
	}
	q.under++
	q.announced, q.untold = true, true
	answer := q.tellFronts(ctx)
	if answer.Complete {
		q.asked, q.summary.knowsFrom = true, knowsFronts
	}
	if q.forgotten = answer.Forgotten && !q.isBudgeted(); q.forgotten {
		q.tally()
	}
	q.askRecords(ctx, answer)
	if !q.asked {
		return q.stopUnknown()
	}
	q.decideFates(ctx)
	if q.seen.Lost() > q.lostTold {
		answer = q.tellFronts(ctx) // if this front is lost, too, the next one counts on from here
	}
	if q.isReserved() {
		return nil
	}
	if answer.Told {
		if q.forgotten {
			_ = q.awaitRuns(ctx, q.writeRuns(), doubtTimeout) // these fronts may be lost together once more
		}
		return nil
	}
	if err := q.awaitRuns(ctx, q.writeRuns(), runsTimeout); err != nil {
		return q.stopUnknown()
	}
	return nil
}

func (q *request) stopUnknown() error {
	q.under++ // it does not run
	q.e.Scope.Counter("requests_runs_unknown").Inc(1)
	return errRunsUnknown
}

// askRecords takes over what is recorded of the request's earlier attempts if other fronts could not tell all.
func (q *request) askRecords(ctx context.Context, answer runio.Answer) {
	if q.recordsAnswered || q.recordsAway() || answer.Complete && (!answer.Doubt || q.recordsLate()) {
		return
	}
	longest := runsTimeout
	if answer.Complete {
		longest = doubtTimeout
	}
	began := time.Now()
	q.queryRuns(ctx, longest, "", false)
	q.summary.askTime = time.Since(began)
}

// recordsLate reports whether the records took longer than doubtTimeout lately, recordsAway whether they did not
// answer within runsTimeout.
func (q *request) recordsLate() bool { return lately(&q.e.recordsLate) }
func (q *request) recordsAway() bool { return lately(&q.e.recordsAway) }

func lately(at *atomic.Int64) bool { return time.Now().UnixNano()-at.Load() < int64(askRetry) }

// noteLate notes that the records did not answer within the time since they were asked. It tells nothing of them if
// the caller left before, or this front was frozen meanwhile.
func (q *request) noteLate(ctx context.Context, asked time.Time, within time.Duration) {
	now := time.Now()
	if q.over(ctx) || now.Sub(asked) > within+frozenTime {
		return
	}
	q.e.recordsLate.Store(now.UnixNano())
	if within >= runsTimeout {
		q.e.recordsAway.Store(now.UnixNano())
	}
}

// isReserved reports whether the records know that the run which is about to begin may run: it is the first one of a
// turn's attempt, of which the reservation tells.
func (q *request) isReserved() bool {
	return q.route.Kind == route.Stream && q.isBudgeted() && !q.own.HasRuns()
}

// isBudgeted reports whether the tokens of the request, if it is a turn, are reserved in its program's budget.
func (q *request) isBudgeted() bool { return q.HasTokenBudget && q.Program != "" }

// tellFronts tells other fronts what is known of this attempt, and takes over what they know of others.
func (q *request) tellFronts(ctx context.Context) (answer runio.Answer) {
	if q.e.Runs == nil {
		return answer
	}
	began := time.Now()
	mine := q.ownRun()
	mine.Attempt, mine.At = q.scopedID(q.ID), q.began.UnixMilli()
	answer = q.e.Runs.Tell(ctx, q.key(), *mine)
	q.see(answer.Runs)
	if answer.Told {
		q.untold, q.lostTold = false, mine.Lost
	}
	q.summary.tellTime += time.Since(began)
	return answer
}

// decideFates asks the fronts of attempts under way what became of these.
func (q *request) decideFates(ctx context.Context) {
	var open []index.Run
	for attempt, r := range q.others {
		if _, decided := q.fates[attempt]; r.IsUnderWay() && !decided {
			open = append(open, r)
		}
	}
	if len(open) == 0 || q.e.Runs == nil {
		return
	}
	fates, runs := q.e.Runs.Fates(ctx, q.key(), open)
	if q.fates == nil {
		q.fates = map[string]runio.Fate{}
	}
	for attempt, fate := range fates {
		q.fates[attempt] = fate
	}
	q.see(runs)
}

// see takes over what is known of the request's attempts.
func (q *request) see(runs []index.Run) {
	for _, r := range runs {
		if r.Request != q.key() {
			continue
		}
		if q.others == nil {
			q.others = map[string]index.Run{}
		}
		q.others[r.Attempt] = index.MergeRuns(q.others[r.Attempt], r)
	}
	q.tally()
}

// tally adds up what is known of the request's attempts. What this one knows of its own runs holds also if it could
// not be told.
func (q *request) tally() {
	mine := *q.ownRun()
	mine.Attempt = q.scopedID(q.ID)
	all := make([]index.Run, 0, len(q.others)+1)
	open, lost, lostInAll := q.forgotten, 0, 0
	for attempt, r := range q.others {
		if attempt == mine.Attempt {
			mine = index.MergeRuns(r, mine)
			continue
		}
		old := r.At > 0 && q.began.UnixMilli()-r.At > triedSpan.Milliseconds()
		if old {
			r.Tried = nil
		}
		all = append(all, r)
		if !r.IsUnderWay() {
			continue
		}
		switch fate, decided := q.fates[attempt]; {
		case !decided, fate == runio.UnderWay, fate == runio.Undecided:
			open = true
		case fate == runio.Lost && !old:
			lost = max(lost, r.Lost+1)
			lostInAll++
		}
	}
	if q.Program != "" {
		lost = max(lost, lostInAll) // its like requests are attempts of one caller, one after another
	}
	q.seen = ended.Of(append(all, mine)).WithOpen(open).WithLost(lost)
	for _, s := range q.gone {
		q.seen = q.seen.With(s)
	}
}

// ownRun returns what is known of the runs of this attempt.
func (q *request) ownRun() *index.Run {
	r := &index.Run{Request: q.key(), Ended: q.own.Ended(), Broken: q.own.Broken(), Tried: q.own.Tried(), Under: q.under, Lost: q.seen.Lost()}
	if q.e.Runs != nil {
		r.Front = q.e.Runs.Front()
	}
	return r
}

// runOver notes that the run of announce is over. The next one who is told learns it.
func (q *request) runOver() { q.under += q.under % 2 }

// shareRuns tells other fronts and the records of the runs of this attempt, and learns from both of others. It
// returns an error if neither know. Both go on if ctx ends.
func (q *request) shareRuns(ctx context.Context) error {
	q.runOver()
	written := q.writeRuns()
	if !q.tellFronts(ctx).Told {
		return q.awaitRuns(ctx, written, runsTimeout)
	}
	if !q.recordsLate() {
		_ = q.awaitRuns(ctx, written, doubtTimeout) // other fronts know
	}
	return nil
}

// written is the outcome of a write of runs.
type written struct {
	quorum.Result
	error
}

// writeRuns begins to make the runs of this attempt durable.
func (q *request) writeRuns() <-chan written {
	q.unrecorded = false
	rec := q.runsRecord(q.longest())
	rec.Run = q.ownRun()
	done := make(chan written, 1)
	if q.e.runWrites.Add(1) > maxRunWrites {
		q.e.runWrites.Add(-1)
		done <- written{error: quorum.ErrOverloaded}
		return done
	}
	go func() {
		defer q.e.runWrites.Add(-1)
		ctx, cancel := context.WithTimeout(q.e.Stop, recordSpan)
		defer cancel()
		res, err := q.e.Records.Write(ctx, rec)
		done <- written{res, err}
	}()
	return done
}

// awaitRuns waits for a write of runs, and takes over those of all attempts of the request. The write goes on if ctx
// ends or the time is over.
func (q *request) awaitRuns(ctx context.Context, done <-chan written, longest time.Duration) (err error) {
	began := time.Now()
	limited, stop := context.WithTimeout(ctx, longest)
	defer stop()
	defer func() {
		if err != nil {
			q.unrecorded = true
			q.summary.unrecorded++
			q.noteLate(ctx, began, longest)
			q.e.Scope.Counter("runs_unrecorded").Inc(1)
			err = errors.Wrap(err, "record runs")
		}
	}()
	select {
	case w := <-done:
		q.see(w.Runs)
		return w.error
	case <-limited.Done():
		return limited.Err()
	}
}

// tellOver tells other fronts that the attempt is over, and the records of the runs that nobody was told of.
func (q *request) tellOver() {
	if !q.announced {
		return
	}
	runs := q.unrecorded
	if runs {
		q.writeRuns() // without it, other fronts know
	}
	if q.under%2 == 0 && !q.untold {
		return
	}
	q.runOver()
	if q.e.Runs != nil {
		mine := q.ownRun()
		mine.Attempt, mine.At = q.scopedID(q.ID), q.began.UnixMilli()
		q.e.Runs.Over(q.e.Stop, q.key(), *mine)
	}
}

// queryRuns takes over and returns what is recorded of the request's earlier attempts, and returns that of
// the attempt first, with the parts of their streams if they are asked for. Nothing is known of them if the
// records can't be read.
func (q *request) queryRuns(ctx context.Context, longest time.Duration, first string, parts bool) quorum.Result {
	began := time.Now()
	limited, stop := context.WithTimeout(ctx, longest)
	defer stop()
	rec := q.runsRecord(0)
	rec.Run.First, rec.AskParts = first, parts
	res, err := q.e.Records.Write(limited, rec)
	if err != nil {
		q.noteLate(ctx, began, longest)
		q.knows(knowsNothing)
		return quorum.Result{}
	}
	q.see(res.Runs)
	if res.Incomplete {
		q.knows(knowsIncomplete) // like records that can't be read, otherwise
		return res
	}
	q.knows(knowsRecords)
	q.asked, q.recordsAnswered = true, true
	return res
}

// knows sets on what the knowledge of earlier attempts rests, unless other fronts have told.
func (q *request) knows(from string) {
	if q.summary.knowsFrom != knowsFronts {
		q.summary.knowsFrom = from
	}
}

// runsRecord returns a record of this attempt, which may last a while yet or is over, that states nothing of its
// runs yet.
func (q *request) runsRecord(lasts time.Duration) index.Record {
	program := q.scopedID(q.Program)
	if q.Program == "" {
		program = "request:" + strconv.FormatUint(q.key(), 16)
	}
	return index.Record{
		Program: program, Attempt: q.scopedID(q.ID), At: q.began.UnixMilli(), TTL: (lasts + max(q.retainFor(), minRunsTTL)).Milliseconds(),
		Run: &index.Run{Request: q.key()},
	}
}
