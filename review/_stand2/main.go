// Stand-ins of the second review: the platform's store, workers and clients, and the scripts
// of its cases. Usage: stand2 CASE DIR PROGRAM.
package main

import (
	"context"
	"fmt"
	"os"
)

// exit codes of a case
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DIR PROGRAM")
		os.Exit(notRun)
	}
	cases := map[string]func(context.Context, *world, bool) (int, error){
		"expire": expire,
		"limits": limits,
		"long":   long,
	}
	do := cases[os.Args[1]]
	if do == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	ctx, stop := context.WithCancel(context.Background())
	code, err := do(ctx, w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	w.note("exit %d", code)
	stop()
	w.stopAll()
	os.Exit(code)
}
