package greengageroute

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// Diagnostic is one problem in a settings or configuration file.
	Diagnostic struct {
		File    string
		Line    int // from 1; 0 if the problem has no position
		Column  int // from 1
		Path    string
		Problem string
		Remedy  string
	}

	// ValidationError holds all diagnostics of a file, in the order of the file.
	ValidationError struct {
		Diagnostics []Diagnostic
	}

	position struct{ line, column int }

	// diagnostics collects the diagnostics of a file and holds the position of each
	// path.
	diagnostics struct {
		file      string
		positions map[string]position
		items     []Diagnostic
		reported  Set[string] // paths that have a diagnostic
	}
)

// String formats the diagnostic as file:line:column: path: problem; remedy.
func (diagnostic Diagnostic) String() string {
	text := diagnostic.Problem
	if diagnostic.Path != "" {
		text = diagnostic.Path + ": " + text
	}
	return fmt.Sprintf("%s:%d:%d: %s; %s", diagnostic.File, diagnostic.Line, diagnostic.Column, text, diagnostic.Remedy)
}

// Error returns all diagnostics, one per line.
func (err *ValidationError) Error() string {
	return strings.Join(err.Lines(), "\n")
}

// Lines returns one line per diagnostic.
func (err *ValidationError) Lines() []string {
	lines := make([]string, 0, len(err.Diagnostics))
	for _, diagnostic := range err.Diagnostics {
		lines = append(lines, diagnostic.String())
	}
	return lines
}

// add records a diagnostic. Only the first of a path is kept, since later ones
// usually follow from it.
func (list *diagnostics) add(path, remedy, problem string, args ...any) {
	if list.reported == nil {
		list.reported = Set[string]{}
	}
	if !list.reported.Add(path) {
		return
	}
	position := list.positionOf(path)
	list.items = append(list.items, Diagnostic{
		File: list.file, Line: position.line, Column: position.column,
		Path: path, Problem: fmt.Sprintf(problem, args...), Remedy: remedy,
	})
}

// clone returns a copy to which diagnostics can be added independently.
func (list *diagnostics) clone() *diagnostics {
	copied := *list
	copied.items = slices.Clone(list.items)
	copied.reported = maps.Clone(list.reported)
	return &copied
}

// positionOf returns the position of a path, or that of its nearest parent if the
// path is missing from the file.
func (list *diagnostics) positionOf(path string) position {
	for {
		if position, found := list.positions[path]; found {
			return position
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (list *diagnostics) err() error {
	if len(list.items) == 0 {
		return nil
	}
	return &ValidationError{Diagnostics: list.sorted()}
}

// sorted returns the diagnostics in the order of the file.
func (list *diagnostics) sorted() []Diagnostic {
	slices.SortStableFunc(list.items, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return list.items
}
