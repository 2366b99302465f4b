// Command lab-2 plays the cases of the second review: hosts and upstreams as processes on loopback addresses.
//
// Usage:
//
//	lab-2 CASE RECORD
//
// TROUBLE=0 leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// cases are the cases by name. Each returns the breaks of its rule.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "upstream" {
		var o upstreamOptions
		if err := json.Unmarshal([]byte(os.Args[2]), &o); err != nil {
			fail(err)
		}
		fail(runUpstream(o))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail(fmt.Errorf("usage: lab-2 CASE RECORD"))
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	breaks, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range breaks {
		w.note("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		fmt.Println("broken:", len(breaks), "times; the first:", breaks[0])
		return 1
	}
	w.note("the rule held")
	fmt.Println("held")
	return 0
}
