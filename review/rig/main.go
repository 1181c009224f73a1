// Command rig runs one case of the second review: it starts entries with the command of the deploy file as separate
// processes, together with stand-ins of the platform's store, its machines, its workers and its callers, and checks
// one rule of the users' pages. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case. The review allows 120 s.
const caseTimeout = 110 * time.Second

// scenario runs a case with its disruption, or without it. It returns the violations of the rule.
type scenario func(ctx context.Context, r *rig, trouble bool) ([]string, error)

// scenarios returns the cases by name.
func scenarios() map[string]scenario {
	return map[string]scenario{
		"ends":   runEnds,
		"late":   runLate,
		"large":  runLarge,
		"cancel": runCancel,
		"gang":   runGang,
	}
}

func main() { os.Exit(playCase()) }

// playCase runs the case that the first argument names and writes its record to the file that the second one names.
func playCase() int {
	const arguments = 3
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	play, ok := scenarios()[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with its disruption: %v", os.Args[1], trouble)
	r := newRig(rec)
	violations, err := play(ctx, r, trouble)
	r.close()
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		rec.add("BROKEN %s", v)
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
