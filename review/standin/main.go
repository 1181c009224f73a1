package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case: the rule under test and what is done.
type scenario struct {
	rule string
	play func(d *deployment, trouble bool) error
}

// playUntilSignal plays a scenario. It returns early if this process is told to end.
func (s scenario) playUntilSignal(d *deployment, trouble bool) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- s.play(d, trouble) }()
	select {
	case err := <-result:
		return err
	case received := <-ended:
		return fmt.Errorf("ended by signal %s", received)
	}
}

func main() { os.Exit(play()) }

// play plays a scenario and returns the exit code.
func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/hibiscuslane", "the program that the deploy file builds")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the entries")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("unknown case", *name)
		return exitNotRun
	}
	j, err := openJournal(*record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if *keep {
		fmt.Println("logs in", folder)
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	d, err := newDeployment(j, *program, folder, s.rule)
	if err == nil {
		err = s.playUntilSignal(d, *trouble)
	}
	if d != nil {
		if ended := d.exits(); len(ended) > 0 {
			j.logf("entries that ended by themselves: %v", ended)
		}
		d.close()
	}
	broken := j.broken()
	switch {
	case err != nil:
		j.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("%s broken, %d times:\n%s\n", s.rule, len(broken), strings.Join(broken, "\n"))
		return exitBroken
	}
	j.logf("%s held", s.rule)
	fmt.Println(s.rule, "held")
	return exitHeld
}
