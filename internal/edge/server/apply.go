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

// FromNewest as the base of a text applies it whatever version is in force.
const FromNewest = "newest"

type (
	// Applied is the outcome of applying a configuration. Version is in force
	// now, or was when another operator was first: then Conflict is set, and
	// Base is what this operator started from. Faults name file, line and key
	// of a text that was not taken. Ran tells whether the text is in force.
	Applied struct {
		Version   uint64      `json:"version"`
		Unchanged bool        `json:"unchanged,omitempty"` // the text was in force before
		Conflict  bool        `json:"conflict,omitempty"`
		Base      uint64      `json:"base,omitempty"`
		By        string      `json:"by,omitempty"` // who applied the version in force
		At        time.Time   `json:"at,omitzero"`
		Faults    file.Errors `json:"faults,omitempty"`
		Message   string      `json:"message,omitempty"`
		Ran       result.Ran  `json:"ran"`
	}

	// running is the configuration in force, as operators read it.
	running struct {
		Version uint64 `json:"version"`
		Text    string `json:"text"`
	}
)

// Told turns what came of applying a text into what its operator is told.
func Told(base uint64, out apply.Outcome, err error) Applied {
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

// TextOf returns the text and version in force, as a daemon gives them to its
// peers: a watch.Keeper's Answer, which holds some of the chunks at a time.
// Nothing is returned before a configuration is in force.
func TextOf(answer func(watch.Query) watch.Answer) (text []byte, version uint64) {
	h := answer(watch.Query{}).Head
	pieces := map[string][]byte{}
	for missing := h.Chunks; len(missing) > 0; missing = without(missing, pieces) {
		before := len(pieces)
		for _, c := range answer(watch.Query{Chunks: missing}).Chunks {
			if piece, err := c.Unpack(); err == nil {
				pieces[c.Digest] = piece
			}
		}
		if len(pieces) == before {
			return nil, 0 // replaced meanwhile, or not to be read
		}
	}
	for _, digest := range h.Chunks {
		text = append(text, pieces[digest]...)
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

// apply puts the body in force as the next configuration. The operator names
// the version that the text was made from, so that nobody undoes another's
// change unseen.
func (s *Server) apply(x *exchange) {
	from, ok := base(string(x.QueryArgs().Peek("from")))
	if !ok {
		x.badRequest("the query parameter from must be the version that this text was made from, or %s", FromNewest)
		return
	}
	a := s.Apply(s.base, append([]byte(nil), x.Request.Body()...), from)
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
