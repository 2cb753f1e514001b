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

// routePattern returns the value of an expression that is a route pattern: a literal, one of the listed constants, or a
// concatenation of them. For other expressions it returns "".
func routePattern(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(x.Value)
		if err != nil {
			return ""
		}
		return text
	case *ast.BinaryExpr:
		return routePattern(x.X) + routePattern(x.Y)
	case *ast.SelectorExpr:
		if p, ok := x.X.(*ast.Ident); ok {
			return map[string]string{
				"dumper.Path": dumper.Path, "meter.Path": meter.Path, "explainer.PathPrefix": explainer.PathPrefix,
			}[p.Name+"."+x.Sel.Name]
		}
	}
	return ""
}

// registeredRoutes returns the patterns that the source files of a package pass to Handle or HandleFunc.
func registeredRoutes(t *testing.T, dir string) []string {
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
			// The route / handles unknown paths and is not an endpoint.
			if p := routePattern(call.Args[0]); p != "" && p != "/" {
				found = append(found, p)
			}
			return true
		})
	}
	return found
}

// Guards against undocumented endpoints and documented endpoints that no longer exist.
func TestEndpointsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/endpoints.md")
	must.NoError(t, err)
	var listed, served []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	for _, dir := range []string{"entryserver", "agentserver", "assembler"} {
		served = append(served, registeredRoutes(t, dir)...)
	}
	slices.Sort(listed)
	slices.Sort(served)
	must.Eq(t, served, listed)
}
