package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/examples"
)

func TestExitCodes(t *testing.T) {
	good, faulty := filepath.Join(t.TempDir(), "good.ini"), filepath.Join(t.TempDir(), "faulty.ini")
	is := is.New(t)
	is.NoErr(os.WriteFile(good, []byte(examples.Dev), 0o600))
	is.NoErr(os.WriteFile(faulty, []byte("[system]\nshards = many\n"), 0o600))
	const unreachable = "--address=127.0.0.1:1"
	tests := map[string]struct {
		args []string
		code int
	}{
		"help":             {[]string{"--help"}, exitOK},
		"good file":        {[]string{"check", good}, exitOK},
		"faulty file":      {[]string{"check", faulty}, exitFailed},
		"missing file":     {[]string{"check", good + "x"}, exitFailed},
		"nobody answers":   {[]string{"status", unreachable}, exitFailed},
		"apply, nobody":    {[]string{"apply", good, unreachable}, exitFailed},
		"no command":       {[]string{"bogus"}, exitUsage},
		"no argument":      {[]string{"history", unreachable}, exitUsage},
		"two arguments":    {[]string{"request", "a", "b"}, exitUsage},
		"unknown flag":     {[]string{"status", "--bogus"}, exitUsage},
		"apply nothing":    {[]string{"apply"}, exitUsage},
		"apply and show":   {[]string{"apply", good, "--show"}, exitUsage},
		"unknown shape":    {[]string{"load", "--shape=bogus"}, exitFailed},
		"no trace":         {[]string{"replay"}, exitUsage},
		"missing trace":    {[]string{"replay", good + "x"}, exitFailed},
		"no log":           {[]string{"explain"}, exitFailed},
		"missing log":      {[]string{"explain", good + "x"}, exitFailed},
		"unknown table":    {[]string{"explain", good, "--by=hour"}, exitFailed},
		"a log of faults":  {[]string{"explain", faulty}, exitOK},
		"missing settings": {[]string{"serve"}, exitUsage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := rootCommand()
			c.SetArgs(tt.args)
			c.SetOut(io.Discard)
			is.Equal(run(t.Context(), c, io.Discard), tt.code)
		})
	}
}

// A soak that finds a broken promise must not look like a misspelt command to the script that runs it.
func TestExitCodeOfNestedCommand(t *testing.T) {
	cases := map[string]struct {
		args []string
		code int
	}{
		"a broken promise": {[]string{"soak", "processes"}, exitFailed},
		"an unknown flag":  {[]string{"soak", "processes", "--bogus"}, exitUsage},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := rootCommand()
			nested, _, err := c.Find([]string{"soak", "processes"})
			is.NoErr(err)
			nested.RunE = func(*cobra.Command, []string) error { return errors.New("promise broken") }
			c.SetArgs(tc.args)
			c.SetOut(io.Discard)
			is.Equal(run(t.Context(), c, io.Discard), tc.code)
		})
	}
}
