package merger

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// The decoder walks the syntax tree instead of using yaml.Unmarshal, which stops at the first error of a document and
// does not keep the line numbers that validation needs.

// decoder decodes one file and collects its faults.
type decoder struct {
	file   string
	faults []Fault
	// incomplete is set if items of the file may be missing from the result.
	incomplete bool
}

// location is the position of an item in the source files.
type location struct {
	file string
	line int
	// path is the item's path within the file, such as "Routes[2]".
	path string
	// lines maps the path of each field that is set, relative to the item, to its line. A path is, for example,
	// "Targets[0].Weight".
	lines map[string]int
}

// isSet reports whether the file sets the field, even if its value is invalid.
func (loc location) isSet(field string) bool { return loc.lines[field] != 0 }

// newFault returns a fault at the line of the field. If the field is not set, it uses the line of the innermost
// enclosing field that is set, or else that of the item.
func (loc location) newFault(field, problem, remedy string) Fault {
	line, path := loc.line, loc.path
	for at := field; at != ""; at = parentPath(at) {
		if stated := loc.lines[at]; stated != 0 {
			line = stated
			break
		}
	}
	if field != "" {
		path += "." + field
	}
	return Fault{File: loc.file, Line: line, Field: path, Problem: problem, Remedy: remedy}
}

// parsed is one item as defined in one file, before merging.
type parsed[T any] struct {
	item     T
	location location
	override bool
}

// document holds the items of one file.
type document struct {
	file          string
	organisations []parsed[Organisation]
	keys          []parsed[Key]
	adapters      []parsed[Adapter]
	routes        []parsed[Route]
	objectives    []parsed[Objective]
	evacuations   []parsed[Evacuation]
}

const (
	remedyYAML  = "complete the file and save it again"
	remedyLists = "use Organisations, Keys, Adapters, Routes, Objectives or Evacuations"
)

func (d *decoder) addFault(line int, field, problem, remedy string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Problem: problem, Remedy: remedy})
}

// markIncomplete adds a fault because of which items of the file may be missing from the result.
func (d *decoder) markIncomplete(line int, field, problem, remedy string) {
	d.incomplete = true
	d.addFault(line, field, problem, remedy)
}

func (d *decoder) document(content []byte) document {
	doc := document{file: d.file}
	rootEntries, ok := d.rootEntries(content)
	if !ok {
		return doc
	}
	seen := map[string]int{}
	for _, entry := range rootEntries {
		name, line := entry.Key.GetToken().Value, entry.Key.GetToken().Position.Line
		if first := seen[name]; first != 0 {
			d.markIncomplete(line, name, fmt.Sprintf("stated twice, first in line %d", first), "join the two lists")
			continue
		}
		seen[name] = line
		switch name {
		case "Organisations":
			doc.organisations = decodeList[Organisation](d, name, line, entry.Value)
		case "Keys":
			doc.keys = decodeList[Key](d, name, line, entry.Value)
		case "Adapters":
			doc.adapters = decodeList[Adapter](d, name, line, entry.Value)
		case "Routes":
			doc.routes = decodeList[Route](d, name, line, entry.Value)
		case "Objectives":
			doc.objectives = decodeList[Objective](d, name, line, entry.Value)
		case "Evacuations":
			doc.evacuations = decodeList[Evacuation](d, name, line, entry.Value)
		default:
			d.markIncomplete(line, name, "unknown field", remedyLists)
		}
	}
	return doc
}

// rootEntries parses the YAML text and returns the entries of its top-level mapping.
func (d *decoder) rootEntries(content []byte) ([]*ast.MappingValueNode, bool) {
	if !utf8.Valid(content) {
		line := 1 + strings.Count(string(content[:firstInvalidUTF8(content)]), "\n")
		d.markIncomplete(line, "", "not valid UTF-8", "save the file in UTF-8")
		return nil, false
	}
	tree, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		line, problem := 1, err.Error()
		var syntax yaml.Error
		if errors.As(err, &syntax) {
			problem = syntax.GetMessage()
			if syntax.GetToken() != nil {
				line = syntax.GetToken().Position.Line
			}
		}
		d.markIncomplete(line, "", "not valid YAML: "+strings.ReplaceAll(problem, "\n", " "), remedyYAML)
		return nil, false
	}
	var body ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			d.markIncomplete(lineOf(doc.Body), "", "a second YAML document", "write each document into a file of its own")
			return nil, false
		}
		body = doc.Body
	}
	if body == nil {
		d.markIncomplete(1, "", "the file is empty", "remove the file, or write an empty list as in \"Adapters: []\"")
		return nil, false
	}
	entries, ok := mappingEntries(body)
	if !ok {
		d.markIncomplete(lineOf(body), "", "not a mapping of lists", remedyLists)
	}
	return entries, ok
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid UTF-8.
func firstInvalidUTF8(content []byte) int {
	at := 0
	for at < len(content) {
		r, size := utf8.DecodeRune(content[at:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		at += size
	}
	return at
}

func decodeList[T any](d *decoder, list string, line int, node ast.Node) []parsed[T] {
	values, ok := d.sequenceValues(list, line, node)
	if !ok {
		d.incomplete = true
		return nil
	}
	out := make([]parsed[T], 0, len(values))
	for i, value := range values {
		p := parsed[T]{location: location{file: d.file, line: lineOr(value, line), path: fmt.Sprintf("%s[%d]", list, i), lines: map[string]int{}}}
		dec := itemDecoder{decoder: d, location: p.location, override: &p.override}
		if !dec.decodeStruct("", value, reflect.ValueOf(&p.item).Elem()) {
			d.incomplete = true
			continue
		}
		out = append(out, p)
	}
	return out
}

// sequenceValues returns the elements of a list; null and nodes of other types are faults.
func (d *decoder) sequenceValues(path string, line int, node ast.Node) ([]ast.Node, bool) {
	switch n := node.(type) {
	case *ast.SequenceNode:
		return n.Values, true
	case nil, *ast.NullNode:
		d.addFault(line, path, "no value", "write the list, or [] for an empty one")
	default:
		d.addFault(lineOr(node, line), path, "not a list", "write each item on a line of its own that starts with \"-\"")
	}
	return nil, false
}

// itemDecoder decodes one item of a list by the yaml tags of its type.
type itemDecoder struct {
	*decoder
	location location
	override *bool
}

// addFaultAt adds a fault at the line of node, or at that of the field if node has no position.
func (d itemDecoder) addFaultAt(node ast.Node, field, problem, remedy string) {
	line := lineOr(node, d.location.lines[field])
	path := d.location.path
	if field != "" {
		path += "." + field
	}
	d.addFault(max(line, 1), path, problem, remedy)
}

// decodeStruct decodes a mapping into a struct by its yaml tags. It reports whether node is a mapping.
func (d itemDecoder) decodeStruct(path string, node ast.Node, into reflect.Value) bool {
	entries, ok := mappingEntries(node)
	if !ok {
		problem := "not a mapping of fields"
		if node == nil || node.Type() == ast.NullType {
			problem = "empty list item"
		}
		d.addFaultAt(nilIfNoToken(node), path, problem, "write its fields, or remove the \"-\"")
		return false
	}
	fields := fieldIndexes(into.Type())
	for _, entry := range entries {
		name, line := entry.Key.GetToken().Value, entry.Key.GetToken().Position.Line
		field := joinPath(path, name)
		if first := d.location.lines[field]; first != 0 {
			d.addFaultAt(entry.Key, field, fmt.Sprintf("stated twice, first in line %d", first), "remove one of the two")
			continue
		}
		d.location.lines[field] = line
		index, known := fields[name]
		switch {
		case known:
			d.decodeValue(field, entry.Value, into.Field(index))
		case path == "" && name == "Override" && into.Type() != reflect.TypeFor[Key]():
			d.decodeValue(field, entry.Value, reflect.ValueOf(d.override).Elem())
		default:
			d.addUnknownField(field, name, entry.Key, into.Type(), fields)
		}
	}
	return true
}

func (d itemDecoder) addUnknownField(field, name string, key ast.Node, t reflect.Type, fields map[string]int) {
	if t == reflect.TypeFor[Key]() {
		switch strings.ToLower(name) {
		case "secret", "key", "token", "password":
			d.addFaultAt(key, field, "a secret in plain text", "withdraw this key, issue a new one with \"key issue\" and keep only its Digest here")
			return
		case "override":
			d.addFaultAt(key, field, "a key may not be restated", "withdraw the key and issue a new one")
			return
		}
	}
	for known := range fields {
		if strings.EqualFold(known, name) {
			d.addFaultAt(key, field, "unknown field", "write "+known)
			return
		}
	}
	d.addFaultAt(key, field, "unknown field", "remove it, or use "+strings.Join(fieldNames(t), ", "))
}

func (d itemDecoder) decodeValue(field string, node ast.Node, into reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		d.addFaultAt(nil, field, "no value", "write a value, or remove the field")
		return
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.addFaultAt(node, field, "a YAML anchor, alias or tag", "write the value out")
		return
	}
	switch {
	case into.Type() == reflect.TypeFor[time.Duration]():
		d.decodeDuration(field, node, into)
	case into.Kind() == reflect.Slice:
		d.decodeSlice(field, node, into)
	default:
		d.decodeScalar(field, node, into)
	}
}

func (d itemDecoder) decodeSlice(field string, node ast.Node, into reflect.Value) {
	d.location.lines[field] = lineOr(node, d.location.lines[field])
	path := d.location.path + "." + field
	values, ok := d.sequenceValues(path, d.location.lines[field], node)
	if !ok || len(values) == 0 {
		return
	}
	out := reflect.MakeSlice(into.Type(), len(values), len(values))
	for i, v := range values {
		element := fmt.Sprintf("%s[%d]", field, i)
		d.location.lines[element] = lineOr(v, d.location.lines[field])
		if out.Index(i).Kind() == reflect.Struct {
			d.decodeStruct(element, v, out.Index(i))
		} else {
			d.decodeValue(element, v, out.Index(i))
		}
	}
	into.Set(out)
}

func (d itemDecoder) decodeDuration(field string, node ast.Node, into reflect.Value) {
	value, err := time.ParseDuration(node.GetToken().Value)
	if err != nil || value == 0 {
		d.addFaultAt(node, field, fmt.Sprintf("%q is not a duration", node.GetToken().Value), "write a number with its unit, as in 90s or 2m")
		return
	}
	into.SetInt(int64(value))
}

func (d itemDecoder) decodeScalar(field string, node ast.Node, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		switch n := node.(type) {
		case *ast.StringNode:
			into.SetString(n.Value)
		case *ast.LiteralNode:
			into.SetString(n.Value.Value)
		case *ast.IntegerNode, *ast.FloatNode:
			// Use the source text, so that Version: 1.10 does not become 1.1.
			into.SetString(node.GetToken().Value)
		default:
			d.addFaultAt(node, field, "not a string", "write a string, in quotes if YAML would parse it as true, false or a number")
		}
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			into.SetBool(n.Value)
			return
		}
		d.addFaultAt(node, field, "not true or false", "write true or false without quotes")
	default:
		d.decodeNumber(field, node, into)
	}
}

func (d itemDecoder) decodeNumber(field string, node ast.Node, into reflect.Value) {
	var value float64
	switch n := node.(type) {
	case *ast.IntegerNode:
		switch v := n.Value.(type) {
		case int64:
			value = float64(v)
		case uint64:
			value = float64(v)
		}
	case *ast.FloatNode:
		value = n.Value
	default:
		// The YAML library parses 2e3 as a string.
		var err error
		plain := node.GetToken().Value
		value, err = strconv.ParseFloat(plain, 64)
		if err != nil || node.GetToken().Type != token.StringType || strings.Trim(plain, "0123456789.eE+-") != "" {
			d.addFaultAt(node, field, "not a number", "write a number without quotes or unit")
			return
		}
	}
	if into.Kind() == reflect.Float64 {
		into.SetFloat(value)
		return
	}
	if value != float64(int(value)) {
		d.addFaultAt(node, field, "not a whole number", "write a whole number")
		return
	}
	into.SetInt(int64(value))
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("yaml")] = i
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("yaml")
	}
	return names
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// parentPath returns the path of the element that contains a field, such as "Targets[0]" for "Targets[0].Weight".
func parentPath(path string) string { return path[:max(strings.LastIndexByte(path, '.'), 0)] }

func lineOf(node ast.Node) int { return lineOr(node, 1) }

// lineOr returns the first line of the node, or fallback if the node has no position.
func lineOr(node ast.Node, fallback int) int {
	if entries, ok := mappingEntries(node); ok && len(entries) > 0 {
		// The token of a mapping is its first colon or brace, which can be on a different line than the first key,
		// where the reader looks.
		return entries[0].Key.GetToken().Position.Line
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return fallback
	}
	return node.GetToken().Position.Line
}

// nilIfNoToken returns nil for a node without a token. A null node that the parser inserted may lack one.
func nilIfNoToken(node ast.Node) ast.Node {
	if node == nil || node.GetToken() == nil {
		return nil
	}
	return node
}
