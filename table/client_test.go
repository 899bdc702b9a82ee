package table

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// TestResponsesWithoutEnd guards against a response of the platform that takes more memory than
// the longest row, alone or beside others.
func TestResponsesWithoutEnd(t *testing.T) {
	long := fmt.Sprintf(`{"key":"k","version":1,"value":%q}`, strings.Repeat("AAAA", (2<<20)/4))
	for _, test := range []struct {
		name, body string
		repeated   string // after body, without end
		row, rows  bool   // what can be read of it
	}{
		{"no rows", "null", "", true, true},
		{"a long row", long, "", true, false},
		{"two rows", `[{"key":"a"},{"key":"b"}]`, "", false, true},
		{"more rows than asked for", `[{"key":"a"},{"key":"b"},{"key":"c"}]`, "", false, false},
		{"rows without end", `[{"key":"a"}`, `,{"key":"a"}`, false, false},
		{"a row without end", `{"key":"k","value":"`, strings.Repeat("AAAA", 1<<14), false, false},
		{"spaces without end", " ", strings.Repeat(" ", 1<<16), false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, err := fmt.Fprint(writer, test.body)
				for err == nil && test.repeated != "" {
					_, err = fmt.Fprint(writer, test.repeated)
				}
			}))
			defer server.Close()
			client := NewClient(strings.TrimPrefix(server.URL, "http://"))
			var reads sync.WaitGroup
			for range 3 { // which wait for each other past their small part
				reads.Go(func() {
					_, rowErr := client.Read(t.Context(), "k")
					_, rowsErr := client.Scan(t.Context(), "", "", 2)
					var unavailable *UnavailableError
					if errors.As(rowErr, &unavailable) == test.row || errors.As(rowsErr, &unavailable) == test.rows {
						t.Errorf("row: %v, want it %t; rows: %v, want them %t", rowErr, test.row, rowsErr, test.rows)
					}
				})
			}
			reads.Wait()
			if len(client.turn) != 0 {
				t.Error("a long response is still being read")
			}
		})
	}
}
