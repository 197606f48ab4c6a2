package setup

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const minimal = `[daemon]
name = d1
failure_domain = kariakoo
listen = 127.0.0.1:0

[platform]
store = 127.0.0.1:2400

[peers]
listen = 127.0.0.1:0
peer_key = 0123456789abcdef
`

func TestExample(t *testing.T) {
	is := is.New(t)
	s, err := Parse("daemon.ini", example(t))
	is.NoErr(err)
	is.Equal(s.Daemon.Advertise, "10.20.1.11:7400")
	is.Equal(s.Peers.Seeds, []string{"10.20.1.12:7410", "10.20.2.11:7410", "10.20.3.11:7410"})
}

// The example has each default as a comment. A default that was changed only in the code would
// mislead readers of the example.
func TestExampleShowsDefaults(t *testing.T) {
	is := is.New(t)
	var text []string
	for line := range strings.Lines(string(example(t))) {
		key, value, ok := strings.Cut(strings.TrimPrefix(line, "# "), " = ")
		if ok && strings.HasPrefix(line, "# ") && strings.TrimSpace(value) != "" {
			line = key + " = " + value
		}
		text = append(text, line)
	}
	shown, err := Parse("daemon.ini", []byte(strings.Join(text, "")))
	is.NoErr(err)
	plain, err := Parse("daemon.ini", example(t))
	is.NoErr(err)
	is.Equal(shown, plain)
	is.True(len(strings.Split(strings.Join(text, ""), "body_bytes = 4194304")) > 1) // the example has commented keys
}

func TestMinimal(t *testing.T) {
	is := is.New(t)
	s, err := Parse("d.ini", []byte(minimal))
	is.NoErr(err)
	is.Equal(s.Daemon.DataFolder, "")
	is.Equal(s.Bounds, Bounds{BodyBytes: 4 << 20, HeaderBytes: 8 << 10, Connections: 8192, Calls: 4096, Programs: 20000})
	is.Equal(s.Timeouts, Timeouts{Read: 30 * time.Second, Write: 30 * time.Second, Idle: 2 * time.Minute})
	is.Equal(s.Observe, Observe{LogLevel: "info", LogFormat: "json"})
}

func TestErrors(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"no store":              {"store = 127.0.0.1:2400\n", "", "d.ini:6: [platform] store: the key is missing; want it in this section"},
		"no peers":              {"[peers]\nlisten = 127.0.0.1:0\npeer_key = 0123456789abcdef\n", "", "d.ini:1: [peers] the section is missing; want it once"},
		"short key":             {"0123456789abcdef", "secret", "d.ini:11: [peers] peer_key: the key has 6 bytes; want at least 16"},
		"nowhere to connect to": {"listen = 127.0.0.1:0\n\n[platform]", "listen = 0.0.0.0:7400\n\n[platform]", "d.ini:1: [daemon] advertise: 0.0.0.0:7400 is no address that others can use; want the IP number and port to tell them"},
		"advertised in vain":    {"listen = 127.0.0.1:0\n\n[platform]", "advertise = 0.0.0.0:1\nlisten = 127.0.0.1:0\n\n[platform]", `d.ini:4: [daemon] advertise: "0.0.0.0:1" can't be reached; want one host's IP number and a port from 1 to 65535`},
		"host name":             {"127.0.0.1:2400", "store:2400", `d.ini:7: [platform] store: "store:2400" is not an address; want an IP number and a port such as 10.1.0.7:7400`},
		"seed without a port":   {"peer_key", "seeds = 10.0.0.1:1, 10.0.0.2\npeer_key", `d.ini:11: [peers] seeds: "10.0.0.2" is not an address; want an IP number and a port such as 10.1.0.7:7400`},
		"name with a space":     {"name = d1", "name = d 1", `d.ini:2: [daemon] name: "d 1" is not a name; want 1 to 128 letters, digits, '.', '_' and '-'`},
		"unknown section":       {"[platform]", "[limits]\n[platform]", "d.ini:6: [limits] the section is unknown; want daemon, platform, peers, bounds, timeouts or observe"},
		"unknown key":           {"store =", "stroe = 1\nstore =", "d.ini:7: [platform] stroe: the key is unknown; want one of store, vmlist, weights"},
		"unknown log level":     {"[peers]", "[observe]\nlog_level = loud\n[peers]", `d.ini:10: [observe] log_level: "loud" is not known; want one of debug, info, warn, error`},
		"unbounded calls":       {"[peers]", "[bounds]\ncalls = -1\n[peers]", "d.ini:10: [bounds] calls: -1 is out of range; want 1 to 1000000"},
		"no timeout":            {"[peers]", "[timeouts]\nidle = 0s\n[peers]", "d.ini:10: [timeouts] idle: 0s is out of range; want 100ms to 24h"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(minimal, tt.old, tt.new, 1)
			is.True(text != minimal)
			_, err := Parse("d.ini", []byte(text))
			is.True(err != nil)
			is.Equal(err.Error(), tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add(example(f))
	f.Add([]byte("[daemon\nname = \"\"\"\n[peers]\nseeds = ,"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("x.ini", text)
		if err == nil {
			if s.Daemon.Name == "" || s.Platform.Store == "" || len(s.Peers.Key) < minKeyBytes || s.Bounds.Calls < 1 || s.Timeouts.Idle <= 0 {
				t.Fatalf("accepted incomplete settings: %+v", s)
			}
			return
		}
		var list Errors
		if !errors.As(err, &list) || len(list) == 0 {
			t.Fatalf("want an Errors with at least one entry, got: %v", err)
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, e := range list {
			if e.Line < 1 || e.Line > lines || e.Message == "" {
				t.Fatalf("error without a line in the file or a message: %#v", e)
			}
		}
	})
}

func example(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("../../../examples/daemon.ini")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The operators' documentation must list every key of each section.
func TestDocsListAllKeys(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operate/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range []string{"daemon", "platform", "peers", "bounds", "timeouts", "observe"} {
		t.Run(section, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("x.ini", []byte("["+section+"]\nzz = 1\n"))
			_, list, ok := strings.Cut(err.Error(), "zz: the key is unknown; want one of ")
			is.True(ok)
			list, _, _ = strings.Cut(list, "\n")
			_, part, ok := strings.Cut(string(page), "\n## ["+section+"]\n")
			is.True(ok)
			part, _, _ = strings.Cut(part, "\n## ")
			for key := range strings.SplitSeq(list, ", ") {
				is.True(strings.Contains(part, "\n| `"+key+"` | ")) // has a row in the table
			}
		})
	}
}
