package table

import (
	"context"
	"encoding/json"

	"github.com/gravitational/trace"
)

type (
	// rowWrite is a Write whose value is not yet encoded.
	rowWrite struct {
		key             string
		expectedVersion uint64
		value           any
	}
)

func encodeWrites(rows ...rowWrite) ([]Write, error) {
	writes := make([]Write, 0, len(rows))
	for _, row := range rows {
		value, err := json.Marshal(row.value)
		if err != nil {
			return nil, trace.Wrap(err, "encoding row %q", row.key)
		}
		writes = append(writes, Write{Key: row.key, ExpectedVersion: row.expectedVersion, Value: value})
	}
	return writes, nil
}

// readRow returns a row's decoded value and its version, which is 0 if there is
// no row.
func readRow[T any](ctx context.Context, table Table, key string) (value T, version uint64, err error) {
	row, err := table.Read(ctx, key)
	if err != nil || row.Version == 0 {
		return value, 0, err
	}
	err = json.Unmarshal(row.Value, &value)
	return value, row.Version, trace.Wrap(err, "decoding row %q", key)
}

func scanAll[T any](ctx context.Context, table Table, prefix, after string) ([]T, error) {
	var values []T
	for {
		rows, err := table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			var value T
			if err := json.Unmarshal(row.Value, &value); err != nil {
				return nil, trace.Wrap(err, "decoding row %q", row.Key)
			}
			values = append(values, value)
			after = row.Key
		}
		if len(rows) < scanPageSize {
			return values, nil
		}
	}
}
