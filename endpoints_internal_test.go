package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/dumper"
	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/meter"
)

// pattern returns the route that an expression of the source names, or "" if it names none.
func pattern(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(x.Value)
		if err != nil {
			return ""
		}
		return text
	case *ast.BinaryExpr:
		return pattern(x.X) + pattern(x.Y)
	case *ast.SelectorExpr:
		if p, ok := x.X.(*ast.Ident); ok {
			return map[string]string{
				"dumper.Path": dumper.Path, "meter.Path": meter.Path, "explainer.PathPrefix": explainer.PathPrefix,
			}[p.Name+"."+x.Sel.Name]
		}
	}
	return ""
}

// routes returns the routes that the files of a package register.
func routes(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	must.NoError(t, err)
	var found []string
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		must.NoError(t, err)
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) != 2 {
				return true
			}
			s, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || s.Sel.Name != "Handle" && s.Sel.Name != "HandleFunc" {
				return true
			}
			// The route / answers paths that do not exist.
			if p := pattern(call.Args[0]); p != "" && p != "/" {
				found = append(found, p)
			}
			return true
		})
	}
	return found
}

// Guards against an endpoint without documentation, and documentation of an endpoint that is gone.
func TestEndpointsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/endpoints.md")
	must.NoError(t, err)
	var listed, served []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	for _, dir := range []string{"entryserver", "agentserver", "assembler"} {
		served = append(served, routes(t, dir)...)
	}
	slices.Sort(listed)
	slices.Sort(served)
	must.Eq(t, served, listed)
}
