package settings

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// lineEntry is one key of a file.
type lineEntry struct {
	path string
	// line is where the key stands, valueLine where its value begins.
	line      int
	valueLine int
	// tag is the type of the value, such as !!str or !!seq.
	tag string
	// value is that of a scalar.
	value string
}

// lineIndex lists the keys of a file with their lines, in their order.
type lineIndex struct {
	entries []lineEntry
}

// maxIndexDepth bounds the nesting that is indexed.
const maxIndexDepth = 16

// newLineIndex indexes the keys under the root of a file.
func newLineIndex(root *yaml.Node) lineIndex {
	index := lineIndex{}
	for _, node := range root.Content {
		index.collect("", node, 0)
	}
	return index
}

// removeDuplicates removes keys that an earlier key of the same mapping sets and
// returns a fault for each.
func removeDuplicates(path string, node *yaml.Node) []Fault {
	var faults []Fault
	if node.Kind != yaml.MappingNode {
		for _, child := range node.Content {
			faults = append(faults, removeDuplicates(path, child)...)
		}
		return faults
	}
	lines := make(map[string]int)
	var kept []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := join(path, key.Value)
		if line, taken := lines[key.Value]; taken {
			faults = append(faults, Fault{
				Path:    keyPath,
				Line:    key.Line,
				Message: fmt.Sprintf("already set in line %d", line),
				Remedy:  "keep one of the two",
			})
			continue
		}
		lines[key.Value] = key.Line
		kept = append(kept, key, value)
		faults = append(faults, removeDuplicates(keyPath, value)...)
	}
	node.Content = kept
	return faults
}

func (lineIndex *lineIndex) collect(path string, node *yaml.Node, depth int) {
	if depth > maxIndexDepth {
		return
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			lineIndex.enter(join(path, node.Content[i].Value), node.Content[i], node.Content[i+1], depth)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			lineIndex.enter(fmt.Sprintf("%s[%d]", path, i), item, item, depth)
		}
	default:
	}
}

func (lineIndex *lineIndex) enter(path string, key, value *yaml.Node, depth int) {
	lineIndex.entries = append(lineIndex.entries, lineEntry{
		path:      path,
		line:      key.Line,
		valueLine: value.Line,
		tag:       value.ShortTag(),
		value:     value.Value,
	})
	lineIndex.collect(path, value, depth+1)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// lineOf returns the line of the key, or of its nearest parent in the file.
func (lineIndex lineIndex) lineOf(path string) int {
	for path != "" {
		for _, entry := range lineIndex.entries {
			if entry.path == path {
				return entry.line
			}
		}
		path = parentOf(path)
	}
	return 0
}

func parentOf(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

// pathOfKey returns the path of the named key in the line.
func (lineIndex lineIndex) pathOfKey(line int, key string) string {
	for _, entry := range lineIndex.entries {
		if entry.line == line && (entry.path == key || strings.HasSuffix(entry.path, "."+key)) {
			return entry.path
		}
	}
	return key
}

// pathOfValue returns the path of the value in the line that has the tag and the
// beginning; when there is none, the path of the last value in the line.
func (lineIndex lineIndex) pathOfValue(line int, tag, beginning string) string {
	path := ""
	for _, entry := range lineIndex.entries {
		if entry.valueLine != line {
			continue
		}
		path = entry.path
		if entry.tag == tag && strings.HasPrefix(entry.value, beginning) {
			return path
		}
	}
	return path
}
