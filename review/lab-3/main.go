// Command lab-3 plays the scripted cases of the third review with separate processes of rhubarbtrackd.
//
// # Usage
//
//	lab-3 CASE ROOT RECORD
//
// ROOT is the root of the repository, and RECORD the file for what was sent, answered and run. With TROUBLE=0 in the environment, the
// case runs without its disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(ctx context.Context, w *World, trouble bool) int{
	"drill":     playDrill,
	"gone":      playGone,
	"pipelined": playPipelined,
	"starved":   playStarved,
	"stopping":  playStopping,
	"truncated": playTruncated,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE ROOT RECORD")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	w, err := NewWorld(args[1], args[2], 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.Close()
	code := cases[args[0]](ctx, w, os.Getenv("TROUBLE") != "0")
	if ctx.Err() != nil {
		w.Record.Print("the case was ended")
		return exitNotRun
	}
	w.Record.Print("exit code %d", code)
	return code
}
