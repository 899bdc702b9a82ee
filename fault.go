package greengageroute

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// Diagnostic is one thing wrong with a settings or configuration file.
	Diagnostic struct {
		File    string
		Line    int // from 1; 0 where the fault has no place of its own
		Column  int // from 1
		Path    string
		Problem string
		Remedy  string
	}

	// ValidationError carries every fault found in a file, in the order of the file.
	ValidationError struct {
		Diagnostics []Diagnostic
	}

	position struct{ line, column int }

	// faultList collects faults and knows where each path stands in the file.
	faultList struct {
		file   string
		places map[string]position
		faults []Diagnostic
		faulty Set[string] // paths that have a fault
	}
)

// String formats the fault as file:line:column: path: problem; remedy.
func (fault Diagnostic) String() string {
	what := fault.Problem
	if fault.Path != "" {
		what = fault.Path + ": " + what
	}
	return fmt.Sprintf("%s:%d:%d: %s; %s", fault.File, fault.Line, fault.Column, what, fault.Remedy)
}

// Error lists all faults, one on a line.
func (err *ValidationError) Error() string {
	return strings.Join(err.Lines(), "\n")
}

// Lines returns one line for each fault.
func (err *ValidationError) Lines() []string {
	lines := make([]string, 0, len(err.Diagnostics))
	for _, fault := range err.Diagnostics {
		lines = append(lines, fault.String())
	}
	return lines
}

// add notes a fault. A path has at most one: what follows from a first fault is
// not worth telling.
func (list *faultList) add(path, remedy, problem string, args ...any) {
	if list.faulty == nil {
		list.faulty = Set[string]{}
	}
	if !list.faulty.Add(path) {
		return
	}
	place := list.place(path)
	list.faults = append(list.faults, Diagnostic{
		File: list.file, Line: place.line, Column: place.column,
		Path: path, Problem: fmt.Sprintf(problem, args...), Remedy: remedy,
	})
}

// clone returns a list that can grow on its own.
func (list *faultList) clone() *faultList {
	grown := *list
	grown.faults = slices.Clone(list.faults)
	grown.faulty = maps.Clone(list.faulty)
	return &grown
}

// place returns where a path stands, or what it belongs to if it is missing.
func (list *faultList) place(path string) position {
	for {
		if place, found := list.places[path]; found {
			return place
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (list *faultList) err() error {
	if len(list.faults) == 0 {
		return nil
	}
	return &ValidationError{Diagnostics: list.sorted()}
}

// sorted returns the faults in the order of the file.
func (list *faultList) sorted() []Diagnostic {
	slices.SortStableFunc(list.faults, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return list.faults
}
