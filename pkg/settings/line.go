package settings

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// keyEntry is one key of a settings file, or one item of a list.
type keyEntry struct {
	// path is the full path of the key, such as operators[0].name.
	path string
	// line is the line of the key, valueLine the first line of its value.
	line      int
	valueLine int
	// tag is the YAML type of the value, such as !!str or !!seq.
	tag string
	// value is the text of a scalar value.
	value string
}

// keyIndex lists the keys of a file in file order, to find the lines of faults.
type keyIndex struct {
	entries []keyEntry
}

// maxKeyDepth is the deepest nesting level that is indexed.
const maxKeyDepth = 16

// newKeyIndex indexes the keys of the document node of a file.
func newKeyIndex(root *yaml.Node) keyIndex {
	index := keyIndex{}
	for _, node := range root.Content {
		index.collect("", node, 0)
	}
	return index
}

// removeDuplicates removes repeated keys from each mapping, keeps the first of
// each, and returns a fault for each removed key.
func removeDuplicates(path string, node *yaml.Node) []Fault {
	var faults []Fault
	if node.Kind != yaml.MappingNode {
		for _, child := range node.Content {
			faults = append(faults, removeDuplicates(path, child)...)
		}
		return faults
	}
	firstLines := make(map[string]int)
	var unique []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := joinPath(path, key.Value)
		if line, duplicate := firstLines[key.Value]; duplicate {
			faults = append(faults, Fault{
				Path:    keyPath,
				Line:    key.Line,
				Message: fmt.Sprintf("already set in line %d", line),
				Remedy:  "keep one of the two",
			})
			continue
		}
		firstLines[key.Value] = key.Line
		unique = append(unique, key, value)
		faults = append(faults, removeDuplicates(keyPath, value)...)
	}
	node.Content = unique
	return faults
}

func (keyIndex *keyIndex) collect(path string, node *yaml.Node, depth int) {
	if depth > maxKeyDepth {
		return
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			keyIndex.add(joinPath(path, node.Content[i].Value), node.Content[i], node.Content[i+1], depth)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			keyIndex.add(fmt.Sprintf("%s[%d]", path, i), item, item, depth)
		}
	default:
	}
}

func (keyIndex *keyIndex) add(path string, key, value *yaml.Node, depth int) {
	keyIndex.entries = append(keyIndex.entries, keyEntry{
		path:      path,
		line:      key.Line,
		valueLine: value.Line,
		tag:       value.ShortTag(),
		value:     value.Value,
	})
	keyIndex.collect(path, value, depth+1)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// lineOf returns the line of the key, or of its closest parent that the file has.
// It returns 0 if the file has none of them.
func (keyIndex keyIndex) lineOf(path string) int {
	for path != "" {
		for _, entry := range keyIndex.entries {
			if entry.path == path {
				return entry.line
			}
		}
		path = parentPath(path)
	}
	return 0
}

func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

// pathOfKey returns the full path of the key with the name on the line, or the
// name if there is none.
func (keyIndex keyIndex) pathOfKey(line int, key string) string {
	for _, entry := range keyIndex.entries {
		if entry.line == line && (entry.path == key || strings.HasSuffix(entry.path, "."+key)) {
			return entry.path
		}
	}
	return key
}

// pathOfValue returns the path of the first value on the line that has the tag
// and the prefix, or of the last value on the line if none has.
func (keyIndex keyIndex) pathOfValue(line int, tag, prefix string) string {
	path := ""
	for _, entry := range keyIndex.entries {
		if entry.valueLine != line {
			continue
		}
		path = entry.path
		if entry.tag == tag && strings.HasPrefix(entry.value, prefix) {
			return path
		}
	}
	return path
}
