package greengageroute

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func ExampleNewConfig() {
	_, err := NewConfig(1, map[string]FileVersion{
		"models": {Name: "models", Text: "models:\n  - name: trail-70b\n    vms-per-group: four\n"},
	})
	fmt.Println(err)
	// Output:
	// models:3:20: models[0].vms-per-group: "four" is not a whole number; write a whole number
}

func ExampleHashKey() {
	fmt.Println(HashKey("a key")[:16])
	// Output:
	// 8fa3aab2faa9b79e
}

// TestCheck runs the cases under testdata/check. Each case is a set of files,
// separated by lines "--- name", and the expected diagnostics.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			_, err := NewConfig(1, splitFiles(data.Input))
			if err == nil {
				return "ok\n"
			}
			var validation *ValidationError
			if !errors.As(err, &validation) {
				t.Fatalf("got %v, want a *ValidationError", err)
			}
			return validation.Error() + "\n"
		})
	})
}

func splitFiles(input string) map[string]FileVersion {
	files := map[string]FileVersion{}
	name := "file"
	var text strings.Builder
	flush := func() { files[name] = FileVersion{Name: name, Text: text.String(), Version: 1, Revision: 1} }
	for line := range strings.Lines(input + "\n") {
		if next, found := strings.CutPrefix(strings.TrimSpace(line), "--- "); found {
			if text.Len() > 0 {
				flush()
				text.Reset()
			}
			name = next
			continue
		}
		text.WriteString(line)
	}
	flush()
	return files
}

func FuzzConfig(f *testing.F) {
	f.Add("models:\n  - {name: m, vms-per-group: 4}\n")
	f.Add("a: &a [*a]\n")
	f.Add("workspaces: [{name: w, key-hashes: [x], share: -1}]")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := NewConfig(1, map[string]FileVersion{"f": {Name: "f", Text: text}})
		var validation *ValidationError
		if err != nil && (!errors.As(err, &validation) || len(validation.Diagnostics) == 0) {
			t.Errorf("got %v, want a *ValidationError with diagnostics", err)
		}
	})
}

func TestConfigIsImmutable(t *testing.T) {
	before, err := NewConfig(1, map[string]FileVersion{"a": {Name: "a", Text: "groups: []", Version: 1, Revision: 1}})
	if err != nil {
		t.Fatal(err)
	}
	after, err := before.WithFiles(2, FileVersion{Name: "b", Text: "models: []", Version: 1, Revision: 2})
	if err != nil {
		t.Fatal(err)
	}
	if len(before.Versions()) != 1 || len(after.Versions()) != 2 || len(after.ChangedSince(1)) != 1 {
		t.Errorf("got %d files before, %d after and %d changed, want 1, 2 and 1", len(before.Versions()), len(after.Versions()), len(after.ChangedSince(1)))
	}
}

func TestTeamAllows(t *testing.T) {
	team := Team{Name: "bakery", Files: []string{"bakery-*"}, Scopes: []string{ScopeApply, ScopeRead}}
	for _, test := range []struct {
		scope, file string
		want        bool
	}{
		{ScopeApply, "bakery-groups", true},
		{ScopeApply, "department-groups", false},
		{ScopeDrain, "", false},
		{ScopeRead, "", true},
	} {
		if got := team.Allows(test.scope, test.file); got != test.want {
			t.Errorf("scope %s on file %q: got %t, want %t", test.scope, test.file, got, test.want)
		}
	}
}

func TestEmptyFileIsRefused(t *testing.T) {
	for _, text := range []string{"", "\n", "# nothing yet\n", "~\n"} {
		if _, err := ParseFile("teams.yaml", []byte(text)); err == nil {
			t.Errorf("file %q without keys is accepted", text)
		}
	}
	if _, err := ParseFile("teams.yaml", []byte("groups: []\n")); err != nil {
		t.Errorf("a file with an explicitly empty list is rejected: %v", err)
	}
}
