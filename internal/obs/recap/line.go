package recap

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTookMs is the longest request that a line may state, a day. It keeps sums of
	// milliseconds far from overflow.
	maxTookMs = 24 * 60 * 60 * 1000
	// maxSeconds is the greatest time that may stand before a line.
	maxSeconds = 1e11

	kindStream   = "stream"
	ranNo        = "no"
	ranYes       = "yes"
	ranUnknown   = "unknown"
	codeAnswered = "answered"
	message      = "request"
)

var errNoTime = errors.New("neither a time before the line nor a field time")

type (
	// Line is what a `request` line of a front says about one attempt.
	Line struct {
		End       int64 // milliseconds; the time of the line
		Front     string
		Program   string // empty for a request without a program
		Account   string
		Route     string
		Kind      string
		Upstream  string
		Outcome   string
		Ran       string
		Status    int
		Finish    int64 // milliseconds from arrival to the program's finish time; valid with HasFinish
		HasFinish bool
		LimitWait int64 // milliseconds, as are the following
		Queued    int64
		Recorded  int64
		First     int64 // 0 for none
		Took      int64
	}

	// fields are the JSON fields of a line.
	fields struct {
		Message   *string    `json:"message"`
		Request   string     `json:"request"`
		Time      *time.Time `json:"time"`
		Daemon    string     `json:"daemon"`
		Program   string     `json:"program"`
		Account   string     `json:"account"`
		Route     string     `json:"route"`
		Kind      string     `json:"kind"`
		Upstream  string     `json:"upstream"`
		Outcome   string     `json:"outcome"`
		Ran       string     `json:"ran"`
		Status    int        `json:"status"`
		Finish    *int64     `json:"finish_ms"`
		LimitWait int64      `json:"limit_wait_ms"`
		Queued    int64      `json:"queued_ms"`
		Recorded  int64      `json:"recorded_ms"`
		First     int64      `json:"first_ms"`
		Took      int64      `json:"took_ms"`
	}
)

// outcomeField is in each `request` line of a front and in few other lines.
var outcomeField = []byte(`"outcome"`)

// Parse reads a line: a JSON object, with or without a time in seconds and the VM's name
// before it. It reports whether it is a front's `request` line. The error says why a line is
// no JSON object or lacks what each `request` line has.
func Parse(text []byte) (l Line, isRequest bool, err error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return l, false, errors.New("no JSON object")
	}
	prefix, object := bytes.Fields(text[:start]), text[start:]
	if !bytes.Contains(object, outcomeField) {
		if !json.Valid(object) {
			return l, false, errors.New("invalid JSON object")
		}
		return l, false, nil
	}
	var f fields
	if err = json.Unmarshal(object, &f); err != nil {
		return l, false, err
	}
	if f.Outcome == "" || f.Message != nil && *f.Message != message || f.Message == nil && f.Request == "" {
		return l, false, nil
	}
	l = f.line()
	if err = l.setTime(prefix, f.Time); err != nil {
		return l, false, err
	}
	if l.Took < 0 || l.Took > maxTookMs {
		return l, false, errors.Newf("took_ms is %d", l.Took)
	}
	return l, true, nil
}

func (f *fields) line() Line {
	l := Line{
		Front: f.Daemon, Program: f.Program, Account: f.Account, Route: f.Route, Kind: f.Kind, Upstream: f.Upstream,
		Outcome: f.Outcome, Ran: f.Ran, Status: f.Status, LimitWait: f.LimitWait, Queued: f.Queued, Recorded: f.Recorded,
		First: f.First, Took: f.Took,
	}
	if l.HasFinish = f.Finish != nil; l.HasFinish {
		l.Finish = min(max(*f.Finish, -maxTookMs), maxTookMs)
	}
	return l
}

// setTime sets the time and the front, which may stand before the object; the time there
// counts more than the one in the object, since a replay's clock is not the process's.
func (l *Line) setTime(prefix [][]byte, inside *time.Time) error {
	if len(prefix) > 2 {
		return errors.New("more than a time and a name before the object")
	}
	if len(prefix) > 1 {
		l.Front = string(prefix[1])
	}
	if len(prefix) > 0 {
		s, err := strconv.ParseFloat(string(prefix[0]), 64)
		if err != nil || !(s >= 0 && s <= maxSeconds) {
			return errors.Newf("time before the object: %.40q", prefix[0])
		}
		l.End = int64(math.Round(s * 1000))
		return nil
	}
	if inside == nil {
		return errNoTime
	}
	if l.End = inside.UnixMilli(); l.End < 0 {
		return errors.Newf("time before 1970: %v", *inside)
	}
	return nil
}

// begin returns the time of the request's arrival, in milliseconds.
func (l *Line) begin() int64 { return l.End - l.Took }

func (l *Line) answered() bool {
	return l.Outcome == codeAnswered && l.Status < http.StatusBadRequest
}

// refused reports whether the request has not run and the caller was told to come back.
func (l *Line) refused() bool {
	return l.Ran == ranNo && (l.Status == http.StatusTooManyRequests || l.Status == http.StatusServiceUnavailable)
}

func (l *Line) mayHaveRun() bool { return l.Ran == ranYes || l.Ran == ranUnknown }

// cause returns what ended a request that was not answered.
func (l *Line) cause() string {
	if l.Outcome == codeAnswered {
		return "status " + strconv.Itoa(l.Status)
	}
	return l.Outcome
}
