package server

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/watch"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// FromNewest as the base version applies a text whatever version is in force.
const FromNewest = "newest"

type (
	// Applied is the outcome of applying a configuration. Version is the one in
	// force, or 0 if that is not known. Base is the version that this operator
	// started from; it is set whenever the text was not confirmed as applied. If
	// another operator applied a version in between, Conflict is set and Version
	// is that operator's. Faults give file, line and key of the errors in a
	// rejected text. Ran says whether the text is in force.
	Applied struct {
		Version   uint64      `json:"version"`
		Unchanged bool        `json:"unchanged,omitempty"` // the text was in force already
		Conflict  bool        `json:"conflict,omitempty"`
		Base      uint64      `json:"base,omitempty"`
		By        string      `json:"by,omitempty"` // who applied the version in force
		At        time.Time   `json:"at,omitzero"`
		Faults    file.Errors `json:"faults,omitempty"`
		Message   string      `json:"message,omitempty"`
		Ran       result.Ran  `json:"ran"`
	}

	// currentConfig is the configuration in force, as operators read it.
	currentConfig struct {
		Version uint64 `json:"version"`
		Text    string `json:"text"`
	}
)

// NewApplied converts the outcome or error of applying a text into the operator's
// answer.
func NewApplied(base uint64, out apply.Outcome, err error) Applied {
	var conflict *apply.ConflictError
	var faults file.Errors
	var unknown *apply.UnknownError
	switch {
	case err == nil:
		h := out.Head
		return Applied{Version: h.Version, Unchanged: out.Unchanged, By: h.By, At: h.At, Ran: result.Yes}
	case errors.As(err, &conflict):
		return Applied{
			Version: conflict.Found, Conflict: true, Base: conflict.Base,
			By: conflict.By, At: conflict.At, Message: err.Error(), Ran: result.No,
		}
	case errors.As(err, &faults):
		return Applied{Base: base, Faults: faults, Message: "the configuration has faults", Ran: result.No}
	case errors.As(err, &unknown):
		return Applied{Base: base, Message: err.Error(), Ran: result.Unknown}
	}
	return Applied{Base: base, Message: err.Error(), Ran: result.No}
}

// AssembleText returns the text and version in force. Its parameter is a
// watch.Syncer's Answer, which returns only some of the requested chunks at a
// time. Before a configuration is in force, and if a chunk is not available, the
// text is nil.
func AssembleText(answer func(watch.Query) watch.Answer) (text []byte, version uint64) {
	h := answer(watch.Query{}).Head
	chunks := map[string][]byte{}
	for missing := h.Chunks; len(missing) > 0; missing = without(missing, chunks) {
		before := len(chunks)
		for _, c := range answer(watch.Query{Chunks: missing}).Chunks {
			if data, err := c.Unpack(); err == nil {
				chunks[c.Digest] = data
			}
		}
		if len(chunks) == before {
			return nil, 0 // configuration replaced meanwhile, or a chunk unreadable
		}
	}
	for _, digest := range h.Chunks {
		text = append(text, chunks[digest]...)
	}
	return text, h.Version
}

func without(digests []string, have map[string][]byte) (rest []string) {
	for _, d := range digests {
		if _, found := have[d]; !found {
			rest = append(rest, d)
		}
	}
	return rest
}

// apply applies the body as the next configuration. The query parameter from
// names the version that the text was made from, so that an operator can't
// overwrite another's change unknowingly.
func (s *Server) apply(x *exchange) {
	from, ok := base(string(x.QueryArgs().Peek("from")))
	if !ok {
		x.badRequest("the query parameter from must be the version that this text was made from, or %s", FromNewest)
		return
	}
	a := s.Apply(s.base, x.body, from)
	x.json(a.status(), a)
}

func (a Applied) status() int {
	switch {
	case a.Conflict:
		return fasthttp.StatusConflict
	case len(a.Faults) > 0:
		return fasthttp.StatusBadRequest
	case a.Message != "":
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

func base(s string) (version uint64, ok bool) {
	if s == FromNewest {
		return apply.Newest, true
	}
	version, err := strconv.ParseUint(s, 10, 64)
	return version, err == nil
}
