package watch

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/fake/keyval"
)

// large returns a configuration of 35,000 accounts.
func large(b *testing.B) []byte {
	var s strings.Builder
	s.Write(text(b, "large"))
	for i := range 35_000 {
		name := fmt.Sprintf("client-%05d", i)
		fmt.Fprintf(&s, "\n[account.%s]\nkey_hash = %s\nmax_programs = 50\ntokens_per_minute = 20000\n", name, file.HashKey(fmt.Sprint("salt", i), name+".secret"))
	}
	return []byte(s.String())
}

// changed changes one account.
func changed(text []byte, n int) []byte {
	old := []byte("tokens_per_minute = 20000\n\n[account.client-20000]")
	return bytes.Replace(text, old, fmt.Appendf(nil, "tokens_per_minute = %d\n\n[account.client-20000]", 20_001+n), 1)
}

// BenchmarkFirst measures the first apply of a large configuration to an empty store.
func BenchmarkFirst(b *testing.B) {
	data := large(b)
	calls := keyval.Counts{}
	for b.Loop() {
		var s keyval.Store
		if _, err := apply.Run(b.Context(), &s, apply.Request{Name: "large.ini", Text: data}); err != nil {
			b.Fatal(err)
		}
		calls = s.Counts()
	}
	b.ReportMetric(float64(calls.Writes), "writes/op")
	b.ReportMetric(float64(calls.Reads), "reads/op")
}

// BenchmarkChange changes one account of a large configuration through one daemon and waits
// until another daemon, which learns of the version from the first, has activated it.
func BenchmarkChange(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var s keyval.Store
	syncers := map[string]*Syncer{}
	activated := make(chan uint64, 8)
	fetched := 0
	for _, name := range []string{"a", "b"} {
		k := &Syncer{Self: Member{Name: name, Peer: name}, Store: s.Client(name)}
		k.Fetch = func(_ context.Context, peer string, q Query) (Answer, error) {
			a := syncers[peer].Answer(q)
			for _, c := range a.Chunks {
				fetched += len(c.Packed)
			}
			return a, nil
		}
		syncers[name] = k
	}
	syncers["a"].OnChange = func(f file.File) { syncers["b"].Newer(f.Version, "a") }
	syncers["b"].OnChange = func(f file.File) { activated <- f.Version }
	for _, k := range syncers {
		go func() { _ = k.Serve(ctx) }()
	}
	data := large(b)
	change(b, syncers["a"], activated, data)
	before, n := s.Counts(), 0
	fetched = 0
	for b.Loop() {
		n++
		change(b, syncers["a"], activated, changed(data, n))
	}
	after := s.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "writes/op")
	b.ReportMetric(float64(after.Reads+after.Watches-before.Reads-before.Watches)/float64(n), "reads/op")
	b.ReportMetric(float64(fetched)/float64(n)/1e3, "kB_from_peer/op")
	value, err := syncers["a"].Head().Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(value))/1e3, "kB_head")
	b.ReportMetric(float64(syncers["b"].cachedBytes())/1e6, "MB_packed")
	b.ReportMetric(float64(len(syncers["a"].Head().Chunks)), "chunks")
}

func change(b *testing.B, k *Syncer, activated <-chan uint64, text []byte) {
	out, err := k.Apply(b.Context(), apply.Request{Name: "large.ini", Text: text, Base: apply.Newest})
	if err != nil {
		b.Fatal(err)
	}
	for v := range activated {
		if v == out.Head.Version {
			return
		}
	}
}
