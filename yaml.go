package greengageroute

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	// maxFileBytes bounds the size of a settings or configuration file.
	maxFileBytes = 1 << 20
	// maxYAMLDepth bounds the nesting depth of a file.
	maxYAMLDepth = 16
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeYAML decodes the text into the struct that into points to. It reports
// every unknown key, duplicate key and wrong type with its position.
func decodeYAML(list *diagnostics, text []byte, into any) {
	list.positions = map[string]position{"": {1, 1}}
	if len(text) > maxFileBytes {
		list.add("", "split the file", "the file has %d bytes, more than %d", len(text), maxFileBytes)
		return
	}
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		list.add("", "correct the YAML syntax", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return
	}
	if len(document.Content) == 0 || document.Content[0].Tag == "!!null" {
		list.add("", "write at least one key; an intentionally empty list is written as []", "the file is empty, and applying it would remove all of its declarations")
		return
	}
	list.decode("", document.Content[0], reflect.ValueOf(into).Elem(), 0)
}

func (list *diagnostics) decode(path string, node *yaml.Node, value reflect.Value, depth int) {
	list.positions[path] = position{node.Line, node.Column}
	switch {
	case depth > maxYAMLDepth:
		list.add(path, "reduce the nesting", "nested more than %d levels deep", maxYAMLDepth)
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		list.add(path, "write the value in full", "anchors and aliases are not supported")
	case value.Kind() == reflect.Struct:
		list.decodeStruct(path, node, value, depth)
	case value.Kind() == reflect.Slice:
		list.decodeSlice(path, node, value, depth)
	default:
		list.decodeScalar(path, node, value)
	}
}

func (list *diagnostics) decodeStruct(path string, node *yaml.Node, value reflect.Value, depth int) {
	if node.Kind != yaml.MappingNode {
		list.add(path, "write keys and values", "expected a mapping, found %s", kindName(node))
		return
	}
	fields := fieldsByKey(value.Type())
	seen := Set[string]{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, child := node.Content[i], node.Content[i+1]
		keyPath := joinPath(path, key.Value)
		list.positions[keyPath] = position{key.Line, key.Column}
		index, known := fields[key.Value]
		switch {
		case !known:
			list.add(keyPath, "use one of "+strings.Join(keysOf(value.Type()), ", "), "unknown key %q", key.Value)
		case !seen.Add(key.Value):
			list.add(keyPath, "remove the duplicate", "key %q is given twice", key.Value)
		default:
			list.decode(keyPath, child, value.Field(index), depth+1)
		}
	}
}

func (list *diagnostics) decodeSlice(path string, node *yaml.Node, value reflect.Value, depth int) {
	if node.Kind != yaml.SequenceNode {
		list.add(path, "write a list with a dash before each item", "expected a list, found %s", kindName(node))
		return
	}
	items := reflect.MakeSlice(value.Type(), len(node.Content), len(node.Content))
	for i, child := range node.Content {
		list.decode(fmt.Sprintf("%s[%d]", path, i), child, items.Index(i), depth+1)
	}
	value.Set(items)
}

func (list *diagnostics) decodeScalar(path string, node *yaml.Node, value reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		list.add(path, "write a single value", "expected a single value, found %s", kindName(node))
		return
	}
	if value.Type() == durationType {
		duration, err := time.ParseDuration(node.Value)
		if err != nil || duration < 0 {
			list.add(path, "write a duration such as 1.5s or 20m", "%q is not a duration", node.Value)
			return
		}
		value.SetInt(int64(duration))
		return
	}
	if !setScalar(node, value) {
		list.add(path, "write "+scalarName(value.Kind()), "%q is not %s", node.Value, scalarName(value.Kind()))
	}
}

func setScalar(node *yaml.Node, value reflect.Value) bool {
	var err error
	switch value.Kind() {
	case reflect.String:
		if node.Tag != "!!str" {
			return false
		}
		value.SetString(node.Value)
	case reflect.Bool:
		var flag bool
		flag, err = strconv.ParseBool(node.Value)
		value.SetBool(flag)
	case reflect.Int:
		var number int64
		number, err = strconv.ParseInt(node.Value, 10, 32)
		value.SetInt(number)
	case reflect.Float64:
		var number float64
		number, err = strconv.ParseFloat(node.Value, 64)
		value.SetFloat(number)
	default:
		return false
	}
	return err == nil
}

func scalarName(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func kindName(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return fmt.Sprintf("%q", node.Value)
	}
}

func fieldsByKey(structure reflect.Type) map[string]int {
	fields := make(map[string]int, structure.NumField())
	for i, key := range keysOf(structure) {
		fields[key] = i
	}
	return fields
}

func keysOf(structure reflect.Type) []string {
	keys := make([]string, structure.NumField())
	for i := range keys {
		keys[i] = structure.Field(i).Tag.Get("yaml")
	}
	return keys
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
