package greengageroute

import (
	"fmt"
	"strings"
)

type (
	// Fault is one thing wrong with a settings or configuration file.
	Fault struct {
		File    string
		Line    int // from 1; 0 where the fault has no place of its own
		Column  int // from 1
		Path    string
		Problem string
		Remedy  string
	}

	// FaultsError carries every fault found in a file, in the order of the file.
	FaultsError struct {
		Faults []Fault
	}

	position struct{ line, column int }

	// faultList collects faults and knows where each path stands in the file.
	faultList struct {
		file   string
		places map[string]position
		faults []Fault
	}
)

// String formats the fault as file:line:column: path: problem; remedy.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s; %s", fault.File, fault.Line, fault.Column, fault.Path, fault.Problem, fault.Remedy)
}

// Error lists all faults, one on a line.
func (err *FaultsError) Error() string {
	return strings.Join(err.Lines(), "\n")
}

// Lines returns one line for each fault.
func (err *FaultsError) Lines() []string {
	lines := make([]string, 0, len(err.Faults))
	for _, fault := range err.Faults {
		lines = append(lines, fault.String())
	}
	return lines
}

func (list *faultList) add(path, remedy, problem string, args ...any) {
	place := list.places[path]
	list.faults = append(list.faults, Fault{
		File: list.file, Line: place.line, Column: place.column,
		Path: path, Problem: fmt.Sprintf(problem, args...), Remedy: remedy,
	})
}

func (list *faultList) err() error {
	if len(list.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: list.faults}
}
