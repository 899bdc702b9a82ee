package serve

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
)

// landedFormats holds the encodings of messages and rows as commit cf14b97 wrote them, each
// with all its fields set.
const landedFormats = "testdata/formats-cf14b97.txt"

// Definitions of what entries exchange as of commit cf14b97.
type (
	landedMessage struct {
		From           string            `cbor:"1,keyasint"`
		Address        string            `cbor:"2,keyasint"`
		DataCentre     string            `cbor:"3,keyasint"`
		Sequence       uint64            `cbor:"4,keyasint"`
		Unreachable    []landedInstance  `cbor:"6,keyasint,omitempty"`
		Lease          landedLeaseUpdate `cbor:"7,keyasint,omitempty"`
		HasTraffic     bool              `cbor:"8,keyasint,omitempty"`
		Leaving        bool              `cbor:"9,keyasint,omitempty"`
		Capacity       float64           `cbor:"11,keyasint,omitempty"`
		LiveEntries    int               `cbor:"12,keyasint,omitempty"`
		AllEntries     bool              `cbor:"13,keyasint,omitempty"`
		Relays         []landedRelay     `cbor:"14,keyasint,omitempty"`
		ReadsStore     bool              `cbor:"15,keyasint,omitempty"`
		Readers        []string          `cbor:"16,keyasint,omitempty"`
		Slow           []landedInstance  `cbor:"17,keyasint,omitempty"`
		Loads          []landedLoad      `cbor:"18,keyasint,omitempty"`
		Range          landedRange       `cbor:"19,keyasint,omitempty"`
		Crashes        []landedCrash     `cbor:"20,keyasint,omitempty"`
		Sound          []uint64          `cbor:"21,keyasint,omitempty"`
		Quarantined    []landedVerdict   `cbor:"22,keyasint,omitempty"`
		Limits         []landedLimit     `cbor:"23,keyasint,omitempty"`
		ConfigVersion  uint64            `cbor:"24,keyasint,omitempty"`
		Isolated       bool              `cbor:"25,keyasint,omitempty"`
		TargetsLeaving []landedInstance  `cbor:"26,keyasint,omitempty"`
	}

	landedInstance struct {
		ID             string `cbor:"1,keyasint"`
		StartUnixMilli int64  `cbor:"2,keyasint"`
	}

	landedLeaseUpdate struct {
		Holder   string `cbor:"1,keyasint,omitempty"`
		Fence    uint64 `cbor:"2,keyasint,omitempty"`
		Renewals uint64 `cbor:"3,keyasint,omitempty"`
		Era      uint64 `cbor:"4,keyasint,omitempty"`
	}

	landedRelay struct {
		_             struct{} `cbor:",toarray"`
		Name, Address string
	}

	landedLoad struct {
		_                      struct{} `cbor:",toarray"`
		Target                 string
		Running, PrefillTokens int
		IdleMillis             int64
	}

	landedRange struct {
		From   string `cbor:"1,keyasint,omitempty"`
		Before string `cbor:"2,keyasint,omitempty"`
	}

	landedCrash struct {
		CrashID string   `cbor:"1,keyasint"`
		Request uint64   `cbor:"2,keyasint"`
		Parts   []uint64 `cbor:"3,keyasint,omitempty"`
	}

	landedVerdict struct {
		Cause            uint64   `cbor:"1,keyasint" json:"cause"`
		With             []uint64 `cbor:"4,keyasint,omitempty" json:"with,omitempty"`
		SinceCrashMillis int64    `cbor:"2,keyasint,omitempty" json:"-"`
		FailedTrials     int      `cbor:"3,keyasint,omitempty" json:"failed-trials"`
	}

	landedLimit struct {
		_                                    struct{} `cbor:",toarray"`
		Target                               string
		MilliPerSecond, AgeMillis, CentiSent int64
	}

	landedRows struct {
		Rows         []landedRow
		Version, Era uint64
		Age          time.Duration
	}

	landedRow struct {
		Table, Key string
		Value      []byte
		Version    uint64
		Deleted    bool
	}

	landedEntryRow struct {
		Address    string  `json:"address"`
		DataCentre string  `json:"data-centre"`
		Cores      float64 `json:"cores"`
	}

	landedLeaseRow struct {
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Renewals uint64 `json:"renewals"`
		Era      uint64 `json:"era,omitempty"`
	}

	landedHead struct {
		Replica    string `json:"replica"`
		Epoch      uint64 `json:"epoch"`
		ID         string `json:"id"`
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
	}
)

// codec encodes and decodes values.
type codec struct {
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

var (
	cborCodec = codec{cbor.Marshal, cbor.Unmarshal}
	jsonCodec = codec{json.Marshal, json.Unmarshal}

	// sharedFormats are what entries of different builds read from each other.
	sharedFormats = []struct {
		name    string
		codec   codec
		current func() any // a pointer to a zero value
		landed  func() any
	}{
		{"message", cborCodec, func() any { return new(mesh.Message) }, func() any { return new(landedMessage) }},
		{"rows", cborCodec, func() any { return new(platform.Rows) }, func() any { return new(landedRows) }},
		{"entry", jsonCodec, func() any { return new(entryRow) }, func() any { return new(landedEntryRow) }},
		{"lease", jsonCodec, func() any { return new(greengageroute.LeaseRow) }, func() any { return new(landedLeaseRow) }},
		{"heads", jsonCodec, func() any { return new([]greengageroute.ReplicaHead) }, func() any { return new([]landedHead) }},
		{"quarantine", jsonCodec, func() any { return new([]greengageroute.QuarantineVerdict) }, func() any { return new([]landedVerdict) }},
	}
)

// fill sets all fields of a value, each by its path.
func fill(value reflect.Value, path string) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(path)) // never fails
	number := hash.Sum32()
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), path+"."+field.Name)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			fill(value.Index(i), path+"."+string(rune('a'+i)))
		}
	case reflect.String:
		value.SetString(path)
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(float64(number%100) + 0.5)
	case reflect.Uint8:
		value.SetUint(uint64(number%255) + 1)
	case reflect.Uint64:
		value.SetUint(uint64(number) + 1)
	default:
		value.SetInt(int64(number) + 1)
	}
}

// includes reports whether a decoded value has all that another one has. Lists are of equal
// length, since an entry rejects a list in place of a struct that has another length.
func includes(whole, part any) bool {
	switch part := part.(type) {
	case map[any]any:
		whole, ok := whole.(map[any]any)
		for key, value := range part {
			ok = ok && includes(whole[key], value)
		}
		return ok
	case map[string]any:
		whole, ok := whole.(map[string]any)
		for key, value := range part {
			ok = ok && includes(whole[key], value)
		}
		return ok
	case []any:
		whole, ok := whole.([]any)
		ok = ok && len(whole) == len(part)
		for i := range part {
			ok = ok && includes(whole[i], part[i])
		}
		return ok
	default:
		return reflect.DeepEqual(whole, part)
	}
}

// decodeAny decodes an encoding without a definition.
func (codec codec) decodeAny(t *testing.T, encoding []byte) (value any) {
	t.Helper()
	if err := codec.unmarshal(encoding, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

func (codec codec) encode(t *testing.T, value any) []byte {
	t.Helper()
	encoding, err := codec.marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoding
}

func readLandedFormats(t *testing.T) map[string][]byte {
	file, err := os.Open(landedFormats)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	formats := map[string][]byte{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if formats[name], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return formats
}

// TestFormatsAreSharedWithTheLandedBuild guards against entries of two builds that run side by
// side and can't read each other's messages and rows, or read less than the other one wrote.
func TestFormatsAreSharedWithTheLandedBuild(t *testing.T) {
	landedEncodings := readLandedFormats(t)
	for _, format := range sharedFormats {
		t.Run(format.name, func(t *testing.T) {
			written, found := landedEncodings[format.name]
			if !found {
				t.Fatal("no encoding of the landed build")
			}
			current := format.current()
			if err := format.codec.unmarshal(written, current); err != nil {
				t.Fatalf("this build can't read what the landed one wrote: %v", err)
			}
			if again := format.codec.encode(t, current); !includes(format.codec.decodeAny(t, again), format.codec.decodeAny(t, written)) {
				t.Errorf("this build reads less than the landed one wrote:\n%+v", current)
			}
			full, landed := format.current(), format.landed()
			fill(reflect.ValueOf(full).Elem(), format.name)
			encoding := format.codec.encode(t, full)
			if err := format.codec.unmarshal(encoding, landed); err != nil {
				t.Fatalf("the landed build can't read what this one writes: %v", err)
			}
			read := format.codec.decodeAny(t, format.codec.encode(t, landed))
			if !includes(format.codec.decodeAny(t, encoding), read) || !includes(read, format.codec.decodeAny(t, written)) {
				t.Errorf("the landed build reads other values than this one writes:\n%+v", landed)
			}
		})
	}
}
