package file

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const wantAddress = `want an IP number and a port such as 10.1.0.7:7400`

func read(t testing.TB, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestBrokenFiles(t *testing.T) {
	// Each file has the one mistake that its name says. All errors that follow from it must be
	// reported at once, with line and key.
	tests := map[string][]string{
		"word_for_number": {`9: [agent.pickup] budget_tokens: "lots" is not a number; want 1 to 100000000`},
		"misspelt_key":    {`17: [service.receipts] max_trys: the key is unknown; want one of idempotent, group, timeout, max_tries, hedge`},
		"unknown_section": {
			`15: [service.receipts] group: "ledger" is not declared as a group; want one of engines`,
			`21: [pool.ledger] the section is unknown; want system, limits, account.NAME, agent.NAME, model.NAME, service.NAME, group.NAME or upstream.NAME`,
			`30: [upstream.l1] group: "ledger" is not declared as a group; want one of engines`,
		},
		"undeclared_model": {`8: [agent.pickup] model: "chatty" is not declared as a model; want one of chat`},
		"host_name":        {`31: [upstream.l1] address: "ledger.internal:8000" is not an address; ` + wantAddress},
		"shared_address":   {`31: [upstream.l1] address: 10.20.1.21:8000 is the address of [upstream.e1] already; want one upstream at an address`},
		"empty_group":      {`21: [group.ledger] the group is empty; want at least one [upstream.NAME] with group = ledger`},
		"plain_key":        {`5: [account.app] key_hash: this is not a key's hash; want a salt of 4 to 64 letters and digits, ':' and 64 hexadecimal digits in lower case`},
		"section_twice":    {`34: [agent.pickup] the section stands twice, first on line 7; want it once`},
		"hedged_receipt":   {`17: [service.receipts] hedge: a service that is not idempotent gets no second request; want false, or idempotent = true`},
		"wrong_kind":       {`15: [service.receipts] group: "engines" is a group of kind engine; want a group of kind service`},
		"many": {
			`3: [system] name: the key stands twice, first on line 2; want it once`,
			`4: [system] shards: 0 is out of range; want 1 to 1024`,
			`5: [system] colour: the key is unknown; want one of name, shards, latency_weight, cache_weight, store_reads, store_writes`,
			`6: [system] "just words" is not a setting; want key = value with a key in lower case`,
			`19: [service.receipts] group: "ledger" is not declared as a group; want one of engines`,
			`25: the section's header is not complete; want [section] or [section.name]`,
			`34: [upstream.l1] group: "ledger" is not declared as a group; want one of engines`,
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := Parse("mafuta.ini", read(t, "testdata", "broken", name+".ini"))
			var list Errors
			is.True(errors.As(err, &list))
			is.Equal(f.System.Name, "") // no part of an invalid text is returned
			is.Equal(strings.Split(list.Error(), "\n"), prefixed("mafuta.ini:", want))
		})
	}
}

func prefixed(prefix string, lines []string) (all []string) {
	for _, l := range lines {
		all = append(all, prefix+l)
	}
	return all
}

func TestFaults(t *testing.T) {
	// Lines appended to a valid text, and the error expected for each. If accepted, each would
	// activate something that the operator did not intend.
	tests := map[string]struct{ add, want string }{
		"limits with a name":         {"[limits.big]", "[limits.big] the section takes no name; want [limits]"},
		"account without a name":     {"[account]", "[account] the section has no name; want [account.NAME]"},
		"account with a dot":         {"[account.a.b]\nkey_hash = mz2026:eea7edca49f4c68a9bd33e44a69fb5e85f7166fbbb6a9d0ab2204658d884d9e1", "[account.a.b] an account's name can't hold a dot"},
		"hash of another account":    {"[account.b]\nkey_hash = mz2026:eea7edca49f4c68a9bd33e44a69fb5e85f7166fbbb6a9d0ab2204658d884d9e0", "key_hash: the hash is that of [account.app] already"},
		"hash in upper case":         {"[account.b]\nkey_hash = mz2026:EEA7edca49f4c68a9bd33e44a69fb5e85f7166fbbb6a9d0ab2204658d884d9e0", "key_hash: this is not a key's hash"},
		"hash without salt":          {"[account.b]\nkey_hash = eea7edca49f4c68a9bd33e44a69fb5e85f7166fbbb6a9d0ab2204658d884d9e0", "key_hash: this is not a key's hash"},
		"missing key":                {"[agent.round]\nmodel = chat", "[agent.round] budget_tokens: the key is missing"},
		"undeclared idempotent":      {"[service.scales]\ngroup = ledger", "[service.scales] idempotent: the key is missing"},
		"retried receipt":            {"[service.scales]\ngroup = ledger\nidempotent = false\nmax_tries = 2", "max_tries: a service that is not idempotent is tried once"},
		"yes for true":               {"[service.scales]\ngroup = ledger\nidempotent = yes", `idempotent: "yes" is not known; want one of true, false`},
		"duration without unit":      {"[limits]\ngap_wait = 5", `gap_wait: "5" is not a duration such as 30s; want 1ms to 1h`},
		"duration out of range":      {"[limits]\ngap_wait = 2h", "gap_wait: 2h is out of range; want 1ms to 1h"},
		"not a number":               {"[limits]\nretry_share = NaN", "retry_share: NaN is out of range; want 0 to 1"},
		"zero bound":                 {"[limits]\nmax_calls = 0", "max_calls: 0 is out of range; want 1 to 1000000"},
		"empty value":                {"[limits]\nmax_calls =", `max_calls: "" is not a number; want 1 to 1000000`},
		"port 0":                     {"[upstream.l2]\ngroup = ledger\naddress = 10.0.0.1:0\nfailure_domain = a", `address: "10.0.0.1:0" can't be reached`},
		"any address":                {"[upstream.l2]\ngroup = ledger\naddress = 0.0.0.0:80\nfailure_domain = a", `address: "0.0.0.0:80" can't be reached`},
		"models of a service":        {"[upstream.l2]\ngroup = ledger\naddress = 10.0.0.1:80\nfailure_domain = a\nmodels = chat", `models: the upstream's group "ledger" is of kind service; want no models`},
		"model of no group":          {"[upstream.e2]\ngroup = engines\naddress = 10.0.0.1:80\nfailure_domain = a\nmodels = big", `models: "big" is not declared as a model of group "engines"; want one of chat`},
		"empty item":                 {"[upstream.e2]\ngroup = engines\naddress = 10.0.0.1:80\nfailure_domain = a\nmodels = chat,", `models: "chat," has an empty item`},
		"kind unknown":               {"[group.x]\nkind = engines", `kind: "engines" is not known; want one of engine, service`},
		"quoted block":               {"[limits]\nmax_calls = \"\"\"", "max_calls: quoted blocks are not read"},
		"key before any section":     {"", ""},
		"section's name with spaces": {"[agent.a b]", `"agent.a b" is not a section's name`},
		"text behind a header":       {"[limits] x = 1", "the section's header is not complete"},
		"control character":          {"[limits]\nmax_calls = 1\x00", "the line holds control characters"},
	}
	whole := string(read(t, "testdata", "whole.ini"))
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, want := whole+"\n"+tt.add+"\n", tt.want
			if tt.add == "" {
				text, want = "name = x\n"+whole, "mafuta.ini:1: the line stands before the first section"
			}
			_, err := Parse("mafuta.ini", []byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want)) // the error describes the fault
		})
	}
}

func TestNoSection(t *testing.T) {
	is := is.New(t)
	_, err := Parse("empty.ini", nil)
	is.Equal(err.Error(), "empty.ini:1: [system] the section is missing; want it once")
}

func TestLines(t *testing.T) {
	// Line numbers in messages must match the file as an editor shows it. Comments, blank
	// lines, a byte order mark and CRLF line ends must not shift them.
	whole := strings.Split(strings.TrimSpace(string(read(t, "testdata", "whole.ini"))), "\n")
	var keys []int
	for i, l := range whole {
		if strings.Contains(l, "=") {
			keys = append(keys, i)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		lines := append([]string{}, whole...)
		at := rapid.SampledFrom(keys).Draw(t, "at")
		lines[at] = "zz_" + lines[at]
		var text []string
		want := 0
		for i, l := range lines {
			filler := rapid.SliceOfN(rapid.SampledFrom([]string{"", "# note", "; note", "  \t", "#[x]", "# a = b"}), 0, 3).Draw(t, "filler")
			text = append(append(text, filler...), rapid.SampledFrom([]string{"", "  ", "\t"}).Draw(t, "indent")+l)
			if i == at {
				want = len(text)
			}
		}
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		mark := rapid.SampledFrom([]string{"", "\xef\xbb\xbf"}).Draw(t, "mark")
		_, err := Parse("x.ini", []byte(mark+strings.Join(text, end)))
		var list Errors
		if !errors.As(err, &list) {
			t.Fatal("no fault found")
		}
		for _, e := range list {
			if strings.HasPrefix(e.Key, "zz_") && e.Line == want {
				return
			}
		}
		t.Fatalf("no fault on line %d: %v", want, err)
	})
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	f, err := Parse("whole.ini", read(t, "testdata", "whole.ini"))
	is.NoErr(err)
	is.Equal(f.Limits, Limits{}.withDefaults())
	is.True(f.Limits.MaxCalls > 0 && f.Limits.JournalBuffer > 0 && f.Limits.UpstreamTimeout > 0)
	is.Equal(f.System.Shards, 8)
	is.Equal(f.Services["receipts"].MaxTries, 1) // not idempotent
	is.True(f.Groups["ledger"].QueueLimit > 0)
}

func TestValues(t *testing.T) {
	is := is.New(t)
	text := string(read(t, "testdata", "whole.ini")) + "[limits]\nretry_share = 0\ninline_text_bytes = 0 # none\n" +
		"[upstream.e2]\ngroup = engines\naddress = [fd00::7]:80\nfailure_domain = \"temeke\"\nmodels = chat\nfencing = true\n"
	f, err := Parse("x.ini", []byte(text))
	is.NoErr(err)
	is.Equal(f.Limits.RetryShare, 0.0) // an explicit zero is not replaced by the default
	is.Equal(f.Limits.InlineText, 0)
	is.Equal(f.Upstreams["e2"], Upstream{Group: "engines", Address: "[fd00::7]:80", FailureDomain: "temeke", Models: []string{"chat"}, Fencing: true})
}

func TestExamples(t *testing.T) {
	tests := map[string]struct {
		latencyFirst, cacheFirst bool
		domains                  int
	}{
		"dev":              {domains: 2},
		"mafuta-mzunguko":  {latencyFirst: true, domains: 4},
		"kexanh-analytics": {cacheFirst: true, domains: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := Parse(name, read(t, "../../../examples", name+".ini"))
			is.NoErr(err)
			is.Equal(f.System.LatencyWeight > f.System.CacheWeight, tt.latencyFirst)
			is.Equal(f.System.LatencyWeight < f.System.CacheWeight, tt.cacheFirst)
			domains := map[string]bool{}
			for _, u := range f.Upstreams {
				domains[u.FailureDomain] = true
			}
			is.Equal(len(domains), tt.domains)
		})
	}
}

// Every key must have a row in the operators' documentation of its section.
func TestAllKeysDocumented(t *testing.T) {
	page := string(read(t, "../../../docs/operate/configuration.md"))
	for _, section := range []string{"system", "limits", "account.NAME", "agent.NAME", "model.NAME", "service.NAME", "group.NAME", "upstream.NAME"} {
		t.Run(section, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("x.ini", []byte("["+section+"]\nzz = 1\n"))
			_, list, ok := strings.Cut(err.Error(), "zz: the key is unknown; want one of ")
			is.True(ok)
			list, _, _ = strings.Cut(list, "\n")
			_, part, ok := strings.Cut(page, "\n## ["+section+"]\n")
			is.True(ok)
			part, _, _ = strings.Cut(part, "\n## ")
			for key := range strings.SplitSeq(list, ", ") {
				is.True(strings.Contains(part, "\n| `"+key+"` | ")) // the key has a row
			}
		})
	}
}
