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

// The decoder walks the syntax tree itself instead of using yaml.Unmarshal, which stops at the first fault of a
// document and keeps no line numbers for the checks that follow decoding.

// decoder reads one file and collects its faults.
type decoder struct {
	file   string
	faults []Fault
	// unreadable is set when items of the file may be missing from the result.
	unreadable bool
}

// place is where an item was written.
type place struct {
	file string
	line int
	// path is the item's position in the file, as in "Routes[2]".
	path string
	// lines holds the line of each given field by its path within the item, as in "Targets[0].Weight".
	lines map[string]int
}

// given says whether the file states the field.
func (p place) given(field string) bool { return p.lines[field] != 0 }

func (p place) fault(field, problem, remedy string) Fault {
	line, path := p.line, p.path
	for at := field; at != ""; at = parent(at) {
		if stated := p.lines[at]; stated != 0 {
			line = stated
			break
		}
	}
	if field != "" {
		path += "." + field
	}
	return Fault{File: p.file, Line: line, Field: path, Problem: problem, Remedy: remedy}
}

// parsed is one item as one file states it.
type parsed[T any] struct {
	item     T
	place    place
	override bool
}

// document is the content of one file.
type document struct {
	file          string
	organisations []parsed[Organisation]
	keys          []parsed[Key]
	adapters      []parsed[Adapter]
	routes        []parsed[Route]
	objectives    []parsed[Objective]
}

const (
	remedyYAML  = "complete the file and save it again"
	remedyLists = "use Organisations, Keys, Adapters, Routes or Objectives"
)

func (d *decoder) fault(line int, field, problem, remedy string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Field: field, Problem: problem, Remedy: remedy})
}

// unreadableFault records a fault after which the file's items are incomplete.
func (d *decoder) unreadableFault(line int, field, problem, remedy string) {
	d.unreadable = true
	d.fault(line, field, problem, remedy)
}

// document decodes a whole file.
func (d *decoder) document(content []byte) document {
	doc := document{file: d.file}
	root, ok := d.root(content)
	if !ok {
		return doc
	}
	seen := map[string]int{}
	for _, entry := range root {
		name, line := entry.Key.GetToken().Value, entry.Key.GetToken().Position.Line
		if first := seen[name]; first != 0 {
			d.unreadableFault(line, name, fmt.Sprintf("stated twice, first in line %d", first), "join the two lists")
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
		default:
			d.unreadableFault(line, name, "unknown field", remedyLists)
		}
	}
	return doc
}

// root parses the file and returns the entries of its top-level mapping.
func (d *decoder) root(content []byte) ([]*ast.MappingValueNode, bool) {
	if !utf8.Valid(content) {
		line := 1 + strings.Count(string(content[:invalidAt(content)]), "\n")
		d.unreadableFault(line, "", "not valid UTF-8", "save the file in UTF-8")
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
		d.unreadableFault(line, "", "not valid YAML: "+strings.ReplaceAll(problem, "\n", " "), remedyYAML)
		return nil, false
	}
	var body ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			d.unreadableFault(lineOf(doc.Body), "", "a second YAML document", "write each document into a file of its own")
			return nil, false
		}
		body = doc.Body
	}
	if body == nil {
		d.unreadableFault(1, "", "the file is empty", "remove the file, or write an empty list as in \"Adapters: []\"")
		return nil, false
	}
	entries, ok := mapping(body)
	if !ok {
		d.unreadableFault(lineOf(body), "", "not a mapping of lists", remedyLists)
	}
	return entries, ok
}

func invalidAt(content []byte) int {
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
	values, ok := d.sequence(list, line, node)
	if !ok {
		d.unreadable = true
		return nil
	}
	out := make([]parsed[T], 0, len(values))
	for i, value := range values {
		p := parsed[T]{place: place{file: d.file, line: lineOr(value, line), path: fmt.Sprintf("%s[%d]", list, i), lines: map[string]int{}}}
		w := walker{decoder: d, place: p.place, override: &p.override}
		if !w.structure("", value, reflect.ValueOf(&p.item).Elem()) {
			d.unreadable = true
			continue
		}
		out = append(out, p)
	}
	return out
}

// sequence returns the values of a list; null and other types are faults.
func (d *decoder) sequence(path string, line int, node ast.Node) ([]ast.Node, bool) {
	switch n := node.(type) {
	case *ast.SequenceNode:
		return n.Values, true
	case nil, *ast.NullNode:
		d.fault(line, path, "no value", "write the list, or [] for an empty one")
	default:
		d.fault(lineOr(node, line), path, "not a list", "write each item on a line of its own that starts with \"-\"")
	}
	return nil, false
}

// walker decodes one item.
type walker struct {
	*decoder
	place    place
	override *bool
}

func (w walker) at(node ast.Node, field, problem, remedy string) {
	line := lineOr(node, w.place.lines[field])
	path := w.place.path
	if field != "" {
		path += "." + field
	}
	w.fault(max(line, 1), path, problem, remedy)
}

// structure decodes a mapping into a struct by its yaml tags and says whether node was a mapping.
func (w walker) structure(path string, node ast.Node, into reflect.Value) bool {
	entries, ok := mapping(node)
	if !ok {
		problem := "not a mapping of fields"
		if node == nil || node.Type() == ast.NullType {
			problem = "empty list item"
		}
		w.at(orItem(node), path, problem, "write its fields, or remove the \"-\"")
		return false
	}
	fields := fieldsOf(into.Type())
	for _, entry := range entries {
		name, line := entry.Key.GetToken().Value, entry.Key.GetToken().Position.Line
		field := join(path, name)
		if first := w.place.lines[field]; first != 0 {
			w.at(entry.Key, field, fmt.Sprintf("stated twice, first in line %d", first), "remove one of the two")
			continue
		}
		w.place.lines[field] = line
		index, known := fields[name]
		switch {
		case known:
			w.value(field, entry.Value, into.Field(index))
		case path == "" && name == "Override" && into.Type() != reflect.TypeFor[Key]():
			w.value(field, entry.Value, reflect.ValueOf(w.override).Elem())
		default:
			w.unknown(field, name, entry.Key, into.Type(), fields)
		}
	}
	return true
}

func (w walker) unknown(field, name string, key ast.Node, t reflect.Type, fields map[string]int) {
	if t == reflect.TypeFor[Key]() {
		switch strings.ToLower(name) {
		case "secret", "key", "token", "password":
			w.at(key, field, "a secret in plain text", "withdraw this key, issue a new one with \"key issue\" and keep only its Digest here")
			return
		case "override":
			w.at(key, field, "a key may not be restated", "withdraw the key and issue a new one")
			return
		}
	}
	for known := range fields {
		if strings.EqualFold(known, name) {
			w.at(key, field, "unknown field", "write "+known)
			return
		}
	}
	w.at(key, field, "unknown field", "remove it, or use "+strings.Join(fieldNames(t), ", "))
}

func (w walker) value(field string, node ast.Node, into reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		w.at(nil, field, "no value", "write a value, or remove the field")
		return
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		w.at(node, field, "a YAML anchor, alias or tag", "write the value out")
		return
	}
	switch {
	case into.Type() == reflect.TypeFor[time.Duration]():
		w.duration(field, node, into)
	case into.Kind() == reflect.Slice:
		w.slice(field, node, into)
	default:
		w.scalar(field, node, into)
	}
}

func (w walker) slice(field string, node ast.Node, into reflect.Value) {
	w.place.lines[field] = lineOr(node, w.place.lines[field])
	path := w.place.path + "." + field
	values, ok := w.sequence(path, w.place.lines[field], node)
	if !ok || len(values) == 0 {
		return
	}
	out := reflect.MakeSlice(into.Type(), len(values), len(values))
	for i, v := range values {
		element := fmt.Sprintf("%s[%d]", field, i)
		w.place.lines[element] = lineOr(v, w.place.lines[field])
		if out.Index(i).Kind() == reflect.Struct {
			w.structure(element, v, out.Index(i))
		} else {
			w.value(element, v, out.Index(i))
		}
	}
	into.Set(out)
}

func (w walker) duration(field string, node ast.Node, into reflect.Value) {
	value, err := time.ParseDuration(node.GetToken().Value)
	if err != nil || value == 0 {
		w.at(node, field, fmt.Sprintf("%q is not a duration", node.GetToken().Value), "write a number with its unit, as in 90s or 2m")
		return
	}
	into.SetInt(int64(value))
}

func (w walker) scalar(field string, node ast.Node, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		switch n := node.(type) {
		case *ast.StringNode:
			into.SetString(n.Value)
		case *ast.LiteralNode:
			into.SetString(n.Value.Value)
		case *ast.IntegerNode, *ast.FloatNode:
			// The text as written, so that Version: 1.10 is not read as 1.1.
			into.SetString(node.GetToken().Value)
		default:
			w.at(node, field, "not a text", "write one word, in quotes if it would read as true, false or a number")
		}
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			into.SetBool(n.Value)
			return
		}
		w.at(node, field, "not true or false", "write true or false without quotes")
	default:
		w.number(field, node, into)
	}
}

func (w walker) number(field string, node ast.Node, into reflect.Value) {
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
		// The YAML library reads 2e3 as a text.
		var err error
		plain := node.GetToken().Value
		value, err = strconv.ParseFloat(plain, 64)
		if err != nil || node.GetToken().Type != token.StringType || strings.Trim(plain, "0123456789.eE+-") != "" {
			w.at(node, field, "not a number", "write a number without quotes or unit")
			return
		}
	}
	if into.Kind() == reflect.Float64 {
		into.SetFloat(value)
		return
	}
	if value != float64(int(value)) {
		w.at(node, field, "not a whole number", "write a whole number")
		return
	}
	into.SetInt(int64(value))
}

func mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldsOf(t reflect.Type) map[string]int {
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

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// parent returns the path of what holds a field, as in "Targets[0]" for "Targets[0].Weight".
func parent(path string) string { return path[:max(strings.LastIndexByte(path, '.'), 0)] }

func lineOf(node ast.Node) int { return lineOr(node, 1) }

// lineOr returns the node's first line, or otherwise when it has none.
func lineOr(node ast.Node, otherwise int) int {
	if entries, ok := mapping(node); ok && len(entries) > 0 {
		// The token of a mapping is its first colon or brace; its first key is where the reader looks.
		return entries[0].Key.GetToken().Position.Line
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return otherwise
	}
	return node.GetToken().Position.Line
}

// orItem hides a null node, whose token has no position in the file when the parser made it up.
func orItem(node ast.Node) ast.Node {
	if node == nil || node.GetToken() == nil {
		return nil
	}
	return node
}
