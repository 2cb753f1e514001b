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

// maxFileSize bounds a configuration or settings file in bytes; the target size needs about 1 MB.
const maxFileSize = 16 << 20

// maxDepth bounds the nesting of a file; the types below nest six levels.
const maxDepth = 32

// Document is a decoded file that knows the line of each field.
type Document struct {
	File     string
	lines    map[string]int
	Problems []Problem
}

// Line returns the line of a field, or that of its nearest parent, or 0.
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
	return &InvalidError{Problems: d.Problems}
}

// Decode reads YAML or JSON into v, a pointer to a struct, and collects every unknown key, wrong type and wrong unit.
// Fields that the file leaves out keep the value that v held.
func Decode(file string, data []byte, v any) *Document {
	d := &Document{File: file, lines: map[string]int{}}
	if len(data) > maxFileSize {
		d.AddProblem("", "the file is larger than %d bytes", maxFileSize)
		return d
	}
	if line := deepLine(data); line > 0 {
		d.Problems = append(d.Problems, Problem{File: file, Line: line, Message: "nested too deeply"})
		return d
	}
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.refuseSyntax(err)
		return d
	}
	switch {
	case len(f.Docs) == 0 || f.Docs[0].Body == nil:
		d.AddProblem("", "the file is empty")
	case len(f.Docs) > 1:
		d.AddProblem("", "the file holds more than one document")
	default:
		d.decode("", f.Docs[0].Body, reflect.ValueOf(v).Elem(), 0)
	}
	return d
}

// deepLine returns the first line on which brackets or list marks nest beyond twice maxDepth, or 0. The parser needs
// quadratic time for such files: 35 s for 100,000 open brackets.
func deepLine(data []byte) int {
	line, brackets, marks := 1, 0, 0
	for i, c := range data {
		switch c {
		case '\n':
			line, marks = line+1, 0
		case '[', '{':
			brackets++
		case ']', '}':
			brackets = max(0, brackets-1)
		case ' ', '\t':
			if i > 0 && (data[i-1] == '-' || data[i-1] == '?') {
				marks++
			}
		}
		if brackets > 2*maxDepth || marks > 2*maxDepth {
			return line
		}
	}
	return 0
}

func (d *Document) refuseSyntax(err error) {
	p := Problem{File: d.File, Message: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		p.Message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	d.Problems = append(d.Problems, p)
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *Document) decode(field string, n ast.Node, v reflect.Value, depth int) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		if _, ok := d.lines[field]; !ok {
			d.lines[field] = t.Position.Line
		}
	}
	if depth > maxDepth {
		d.AddProblem(field, "nested deeper than %d levels", maxDepth)
		return
	}
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		d.AddProblem(field, "anchors, aliases, merges and tags are not accepted")
		return
	}
	switch {
	case v.Type() == durationType || v.Type() == timeType || v.Addr().Type().Implements(textType):
		d.decodeText(field, n, v)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(field, n, v, depth)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(field, n, v, depth)
	default:
		d.decodeScalar(field, n, v)
	}
}

// scalarText returns the text of a scalar; quoted text and plain text are the same.
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
	fields := structFields(v)
	seen := map[string]bool{}
	for _, mv := range values {
		key, ok := scalarText(mv.Key)
		child := joinField(field, key)
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
	// An absent list and an empty one are the same; nil is the only form, so that equal configurations compare equal.
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

// structFields maps the keys of a struct to its fields; embedded structs share the keys of their parent.
func structFields(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		t := v.Type().Field(i)
		if t.Anonymous {
			for k, f := range structFields(v.Field(i)) {
				fields[k] = f
			}
			continue
		}
		if name := keyOf(t); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

// keyOf returns the key of a field, or nothing for a field that files don't hold.
func keyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinField(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

// FieldPaths returns every key that a value of v's type holds, in the order of its type, as in ranks[].floor.
func FieldPaths(v any) []string {
	return appendKeys(nil, "", reflect.TypeOf(v))
}

func appendKeys(keys []string, parent string, t reflect.Type) []string {
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return appendKeys(keys, parent+"[]", t.Elem())
	case t.Kind() != reflect.Struct || t == timeType || reflect.PointerTo(t).Implements(textType):
		return keys
	}
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			keys = appendKeys(keys, parent, f.Type)
			continue
		}
		if name := keyOf(f); name != "" {
			child := joinField(parent, name)
			keys = append(keys, child)
			keys = appendKeys(keys, child, f.Type)
		}
	}
	return keys
}
