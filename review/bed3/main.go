// Command bed3 plays the scripts of the third review: it starts stand-ins for the users' platform, executors and clients, and the
// programs under test as processes of their own. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// scripts holds the script of each case. A script returns how the rule was broken, or nothing if it held.
var scripts = map[string]func(b *bed, trouble bool) (string, error){
	"crash":     playCrash,
	"odd-entry": playOddEntry,
	"label":     playLabel,
	"successor": playSuccessor,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the script with the given name and writes its record: arguments are the name, the program and the record's path.
func run(args []string) int {
	if len(args) != 3 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed3 SCRIPT PROGRAM RECORD")
		return exitUnknown
	}
	rec, err := newRecorder(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("script %s, with its disruption: %t", args[0], trouble)
	b, err := newBed(rec, args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnknown
	}
	defer b.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.close()
		os.Exit(exitUnknown)
	}()
	broken, err := scripts[args[0]](b, trouble)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitUnknown
	case broken != "":
		rec.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("held")
	return exitHeld
}
