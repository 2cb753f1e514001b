package configurer

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes bounds the size of a configuration or settings file; a configuration of the target size has about 1 MB.
const maxFileBytes = 16 << 20

// maxNestingDepth bounds the nesting of a file in levels; the types of this package need six.
const maxNestingDepth = 32

// Document is a decoded file with the line of each field and the problems found in it.
type Document struct {
	File     string
	lines    map[string]int
	Problems []Problem
	// Malformed is set if the file as a whole could not be read, so that no field of it is known.
	Malformed bool
}

// Line returns the line of a field, or that of its nearest ancestor that has one, or 0.
func (d *Document) Line(field string) int {
	for {
		if n, ok := d.lines[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return d.lines[""]
		}
		field = field[:i]
	}
}

// AddProblem adds a problem of a field.
func (d *Document) AddProblem(field, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{
		File: d.File, Line: d.Line(field), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// Err returns an InvalidError with all problems, or nil.
func (d *Document) Err() error {
	if len(d.Problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.Problems, Malformed: d.Malformed}
}

// Decode reads YAML or JSON into v, a pointer to a struct, and reports every unknown key, wrong type and wrong unit as
// a problem of the document.
// Fields that the file leaves out keep the value that v held.
func Decode(file string, data []byte, v any) *Document {
	d := &Document{File: file, lines: map[string]int{}}
	body := d.parse(data)
	if d.Malformed = body == nil; !d.Malformed {
		d.decode("", body, reflect.ValueOf(v).Elem(), 0)
	}
	return d
}

// parse returns the body of the only YAML document in data, or nil after adding a problem.
func (d *Document) parse(data []byte) ast.Node {
	if len(data) > maxFileBytes {
		d.AddProblem("", "the file is larger than %d bytes", maxFileBytes)
		return nil
	}
	if line := firstTooDeepLine(data); line > 0 {
		d.Problems = append(d.Problems, Problem{File: d.File, Line: line, Message: "nested too deeply"})
		return nil
	}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.addSyntaxProblem(err)
		return nil
	}
	switch {
	case len(f.Docs) == 0 || f.Docs[0].Body == nil:
		d.AddProblem("", "the file is empty")
	case len(f.Docs) > 1:
		d.AddProblem("", "the file holds more than one document")
	default:
		return f.Docs[0].Body
	}
	return nil
}

// firstTooDeepLine returns the first line on which brackets or list markers nest deeper than twice maxNestingDepth, or 0.
// Such files are refused before parsing, because the parser needs quadratic time for them: 35 s for 100,000 open brackets.
func firstTooDeepLine(data []byte) int {
	line, brackets, listMarkers := 1, 0, 0
	for i, c := range data {
		switch c {
		case '\n':
			line, listMarkers = line+1, 0
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(0, brackets-1)
		case ' ', '\t':
			if i > 0 && (data[i-1] == '-' || data[i-1] == '?') {
				listMarkers++
			}
		}
		if brackets > 2*maxNestingDepth || listMarkers > 2*maxNestingDepth {
			return line
		}
	}
	return 0
}

func (d *Document) addSyntaxProblem(err error) {
	p := Problem{File: d.File, Message: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		p.Message = yamlErr.GetMessage()
		if t := yamlErr.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	d.Problems = append(d.Problems, p)
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	timeType            = reflect.TypeFor[time.Time]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *Document) decode(field string, n ast.Node, v reflect.Value, depth int) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		if _, ok := d.lines[field]; !ok {
			d.lines[field] = t.Position.Line
		}
	}
	if depth > maxNestingDepth {
		d.AddProblem(field, "nested deeper than %d levels", maxNestingDepth)
		return
	}
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		d.AddProblem(field, "anchors, aliases, merges and tags are not accepted")
		return
	}
	switch {
	case v.Type() == durationType || v.Type() == timeType || v.Addr().Type().Implements(textUnmarshalerType):
		d.decodeText(field, n, v)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(field, n, v, depth)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(field, n, v, depth)
	default:
		d.decodeScalar(field, n, v)
	}
}

// scalarText returns the text of a string or number, quoted or not.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// decodeText decodes a duration, a time or a type that implements encoding.TextUnmarshaler.
func (d *Document) decodeText(field string, n ast.Node, v reflect.Value) {
	s, ok := scalarText(n)
	if !ok {
		d.AddProblem(field, "needs a single value")
		return
	}
	switch v.Type() {
	case durationType:
		t, err := time.ParseDuration(s)
		if err != nil {
			d.AddProblem(field, "%q is not a duration with a unit, such as 1.4s or 60ms", s)
			return
		}
		v.SetInt(int64(t))
	case timeType:
		t, err := time.Parse(time.RFC3339, s)
		if err != nil {
			d.AddProblem(field, "%q is not a time such as 2026-01-02T15:04:05Z", s)
			return
		}
		v.Set(reflect.ValueOf(t.UTC()))
	default:
		u, _ := v.Addr().Interface().(encoding.TextUnmarshaler)
		if err := u.UnmarshalText([]byte(s)); err != nil {
			d.AddProblem(field, "%q is not valid: %s", s, err)
		}
	}
}

func (d *Document) decodeStruct(field string, n ast.Node, v reflect.Value, depth int) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		d.AddProblem(field, "needs a mapping of keys to values")
		return
	}
	fields := fieldsByKey(v)
	seen := map[string]bool{}
	for _, mv := range values {
		key, ok := scalarText(mv.Key)
		child := joinPath(field, key)
		if t := mv.Key.GetToken(); t != nil && t.Position != nil && !seen[key] {
			d.lines[child] = t.Position.Line
		}
		f, known := fields[key]
		switch {
		case !ok || mv.Key.Type() == ast.MergeKeyType:
			d.AddProblem(child, "the key is not plain text")
		case !known:
			d.AddProblem(child, "unknown key")
		case seen[key]:
			d.AddProblem(child, "the key appears twice")
		default:
			seen[key] = true
			d.decode(child, mv.Value, f, depth+1)
		}
	}
}

func (d *Document) decodeSlice(field string, n ast.Node, v reflect.Value, depth int) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.AddProblem(field, "needs a list")
		return
	}
	// An empty list becomes nil, as an absent one is, so that equal configurations compare equal.
	list := reflect.Zero(v.Type())
	for i, item := range seq.Values {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decode(fmt.Sprintf("%s[%d]", field, i), item, e, depth+1)
		list = reflect.Append(list, e)
	}
	v.Set(list)
}

func (d *Document) decodeScalar(field string, n ast.Node, v reflect.Value) {
	s, ok := scalarText(n)
	_, isString := n.(*ast.StringNode)
	_, isLiteral := n.(*ast.LiteralNode)
	switch v.Kind() {
	case reflect.String:
		if !isString && !isLiteral {
			d.AddProblem(field, "needs text; put a number or a truth value in quotes")
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, isBool := n.(*ast.BoolNode)
		if !isBool {
			d.AddProblem(field, "needs true or false")
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(s, 10, 64)
		if !ok || isString || err != nil {
			d.AddProblem(field, "needs a whole number without a unit")
			return
		}
		v.SetInt(i)
	case reflect.Uint64, reflect.Uint16:
		u, err := strconv.ParseUint(s, 10, v.Type().Bits())
		if !ok || isString || err != nil {
			d.AddProblem(field, "needs a whole number from 0 without a unit")
			return
		}
		v.SetUint(u)
	case reflect.Float64:
		f, err := strconv.ParseFloat(s, 64)
		if !ok || isString || err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			d.AddProblem(field, "needs a number without a unit")
			return
		}
		v.SetFloat(f)
	default:
		panic("configurer: no decoder for " + v.Type().String())
	}
}

// fieldsByKey maps the YAML keys of a struct to its fields; the keys of an embedded struct belong to its parent.
func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		t := v.Type().Field(i)
		if t.Anonymous {
			for k, f := range fieldsByKey(v.Field(i)) {
				fields[k] = f
			}
			continue
		}
		if name := yamlKey(t); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

// yamlKey returns the YAML key of a field, or an empty string for a field that is not read from files.
func yamlKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

// FieldPaths returns the path of every key in the type of v, such as ranks[].floor, in the order of the fields.
func FieldPaths(v any) []string {
	return appendFieldPaths(nil, "", reflect.TypeOf(v))
}

func appendFieldPaths(paths []string, parent string, t reflect.Type) []string {
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return appendFieldPaths(paths, parent+"[]", t.Elem())
	case t.Kind() != reflect.Struct || t == timeType || reflect.PointerTo(t).Implements(textUnmarshalerType):
		return paths
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			paths = appendFieldPaths(paths, parent, f.Type)
			continue
		}
		if name := yamlKey(f); name != "" {
			child := joinPath(parent, name)
			paths = append(paths, child)
			paths = appendFieldPaths(paths, child, f.Type)
		}
	}
	return paths
}
