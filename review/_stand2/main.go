package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by the names of their folders. Each reports whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"6": manyFields,
	"7": slowBodies,
	"8": hedgedTwice,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM FOLDER")
		os.Exit(exitFailed)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*world) (bool, error), program, folder string) int {
	world, err := newWorld(program, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer world.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		world.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(world)
	switch {
	case err != nil:
		world.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
