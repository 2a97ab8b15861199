// Command review-2 runs the scripted cases of the second review. It exits with 1 if the rule of
// the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases are the scripted cases by name. Each reports whether its rule was broken.
var cases = map[string]func(rec *record, disturb bool) (bool, error){
	"big-config":   bigConfig,
	"last-tenant":  lastTenant,
	"long-failure": longFailure,
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.result("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.result("the rule was broken")
		return exitBroken
	default:
		rec.result("the rule held")
		return exitHeld
	}
}
