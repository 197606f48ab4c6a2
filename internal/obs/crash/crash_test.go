package crash

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	folderVariable = "CRASH_TEST_FOLDER"
	howVariable    = "CRASH_TEST_HOW"
)

// TestMain crashes if it runs as the process of a test.
func TestMain(m *testing.M) {
	dir := os.Getenv(folderVariable)
	if dir == "" {
		os.Exit(m.Run())
	}
	if err := Watch(dir, zerolog.Nop()); err != nil {
		os.Exit(1)
	}
	switch os.Getenv(howVariable) {
	case "panic":
		panic("records are not whole")
	case "signal":
		_ = syscall.Kill(os.Getpid(), syscall.SIGILL)
		select {}
	}
	os.Exit(0)
}

// A process that crashes must leave its cause where the next start finds it, also where only the end of its output is kept.
func TestCrashIsLoggedAtTheNextStart(t *testing.T) {
	tests := map[string]struct {
		how    string
		reason string // empty for no line
	}{
		"panic":       {"panic", "panic: records are not whole"},
		"signal":      {"signal", "SIGILL: illegal instruction"},
		"regular end": {"exit", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			self, err := os.Executable()
			is.NoErr(err)
			cmd := exec.CommandContext(t.Context(), self)
			cmd.Env = append(os.Environ(), folderVariable+"="+dir, howVariable+"="+test.how)
			err = cmd.Run()
			is.Equal(err != nil, test.reason != "")
			var out bytes.Buffer
			is.NoErr(Watch(dir, zerolog.New(&out)))
			is.Equal(strings.Contains(out.String(), `"reason":"`+test.reason), test.reason != "")
			is.True(test.reason != "" || out.Len() == 0)
			out.Reset()
			is.NoErr(Watch(dir, zerolog.New(&out)))
			is.Equal(out.Len(), 0) // logged once
		})
	}
}

func TestParse(t *testing.T) {
	tests := map[string]struct {
		output string
		report Report
	}{
		"nothing": {"", Report{}},
		"cut off": {"fatal error: conc", Report{Reason: "fatal error: conc"}},
		"signal": {
			"SIGILL: illegal instruction\nPC=0x40e4d2 m=3 sigcode=2\n\ngoroutine 7 gp=0x1 m=3 [syscall]:\nmain.f()\n\t/a.go:1\n\ngoroutine 1:\nmain.g()\n",
			Report{
				Reason: "SIGILL: illegal instruction", Details: []string{"PC=0x40e4d2 m=3 sigcode=2"},
				Stack: []string{"goroutine 7 gp=0x1 m=3 [syscall]:", "main.f()", "/a.go:1"},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Parse([]byte(test.output)), test.report)
		})
	}
}
