// Command _world runs the cases of the review that are scripts: the platform's store, a few
// runners and callers as stand-ins, and the project's entries as separate processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a script that hangs.
const timeLimit = 115 * time.Second

// cases holds the scripts by name. Each returns whether the rule held; an error means that the
// case could not run.
var cases = map[string]func(world *world) (held bool, err error){
	"revoked-key":    revokedKey,
	"event-boundary": eventBoundary,
	"old-epoch":      oldEpoch,
	"bad-row":        badRow,
	"silent-head":    silentHead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _world CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	world, err := newWorld(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer world.close()
	time.AfterFunc(timeLimit, func() {
		world.record("the time limit of the script has passed")
		world.close()
		os.Exit(exitNotRun)
	})
	held, err := cases[name](world)
	switch {
	case err != nil:
		world.record("not run: %v", err)
		return exitNotRun
	case held:
		world.record("the rule held")
		return exitHeld
	default:
		world.record("the rule was broken")
		return exitBroken
	}
}
