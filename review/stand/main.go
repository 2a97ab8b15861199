// Command stand runs the cases of the review against the project's own program, with
// stand-ins for the platform, workers and clients.
package main

import (
	"fmt"
	"os"
)

func main() { os.Exit(runCase()) }

// runCase returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func runCase() (code int) {
	if len(os.Args) != 4 {
		fmt.Println("usage: stand CASE PROGRAM RECORD")
		return 2
	}
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Println(failure)
			code = 2
		}
	}()
	cases := map[string]func(d *deployment, trouble bool) bool{"bodies": bodiesCase, "poison": poisonCase, "target": targetCase, "keys": keysCase, "cut": cutCase, "storm": stormCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		return 2
	}
	d := newDeployment(newRecord(os.Args[3]), os.Args[2])
	defer d.close()
	if play(d, os.Getenv("TROUBLE") != "0") {
		d.record.say("the rule was broken")
		return 1
	}
	d.record.say("the rule held")
	return 0
}
