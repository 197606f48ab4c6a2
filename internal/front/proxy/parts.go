package proxy

import (
	"net/http"
	"time"

	"github.com/slaterock/slaterock/internal/front/meta"
)

// noteParts records that an upstream has begun to run the turn and prefills what it lacks of the
// shared parts of its prompt, and counts what it was assumed to have.
func (t *turn) noteParts(s *exchange, shared []meta.Part) {
	if len(shared) == 0 || s.resp.StatusCode != http.StatusOK {
		return
	}
	found, all := t.e.Parts.Use(time.Now(), shared, s.up)
	t.summary.sharedCached, t.summary.sharedTokens = found, all
	t.e.Scope.Counter("shared_tokens_cached").Inc(int64(found))
	t.e.Scope.Counter("shared_tokens_missing").Inc(int64(all - found))
}
