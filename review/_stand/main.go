package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world) []string{"retire": retireAndWipe, "extra": extraAnswer, "chain": longChain, "resume": resumedTurn, "versions": twoVersions}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand retire|extra|chain|resume|versions RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[2], cases[os.Args[1]]))
}
