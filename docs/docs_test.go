// Package docs_test checks that the tests, Go names, packages and files that the documentation
// mentions exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declarations is the set of names declared in the module's Go files, as "Name", "pkg.Name",
// "Type.Member" and "pkg.Type.Member".
type declarations struct{ names map[string]bool }

// parseModule returns the declarations of all Go files of the module, including tests.
func parseModule(t *testing.T, root string) declarations {
	t.Helper()
	found := declarations{names: make(map[string]bool)}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "target" || entry.Name() == "journal" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		found.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// add adds the top-level declarations of one file.
func (d declarations) add(file *ast.File) {
	pkg := file.Name.Name
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			d.addFunc(pkg, decl)
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

func (d declarations) addName(pkg, name string) {
	d.names[name] = true
	d.names[pkg+"."+name] = true
}

func (d declarations) addFunc(pkg string, decl *ast.FuncDecl) {
	d.addName(pkg, decl.Name.Name)
	if decl.Recv == nil {
		return
	}
	receiver := decl.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if ident, ok := receiver.(*ast.Ident); ok {
		d.addName(pkg, ident.Name+"."+decl.Name.Name)
	}
}

func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		d.addName(pkg, spec.Name.Name)
		if fields, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range fields.Fields.List {
				for _, name := range field.Names {
					d.names[name.Name] = true
					d.addName(pkg, spec.Name.Name+"."+name.Name)
				}
			}
		}
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.addName(pkg, name.Name)
		}
	}
}

var (
	testName = regexp.MustCompile(`\bTest[A-Z]\w+`)
	// codeName matches a Go name in backquotes that is qualified by a package or type, or
	// exported and in mixed case, such as `MixedCase`.
	codeName = regexp.MustCompile("`((?:[a-zA-Z]\\w*\\.)+[a-zA-Z]\\w*|[A-Z][a-z]+[A-Z]\\w*)`")
	codePath = regexp.MustCompile("`((?:internal|cmd|docs|examples|deploy|\\.ci)/[\\w./-]+)`")
)

// packageRow matches a row of the package table in architecture.md.
var packageRow = regexp.MustCompile("(?m)^\\| `([a-z/]+)`(?:, `([a-z/]+)`)? \\|")

// settingsName matches names of settings, files and metrics, which look like Go names.
var settingsName = regexp.MustCompile(`^(params|holds|budgets|log|renting|state|cloud|txn|THORNNOTCH|LOG)\b|\.(go|md|toml|yaml|json|mod)$`)

const moduleRoot = ".."

// TestDocumentedNamesExist checks that each test and each qualified or mixed-case Go name in the
// documentation exists, as well as each package and file in architecture.md.
func TestDocumentedNamesExist(t *testing.T) {
	declared := parseModule(t, moduleRoot)
	for _, page := range []string{"architecture.md", "design.md", "operations.md", "../CONTRIBUTING.md"} {
		text := readPage(t, page)
		checkTests(t, declared, page, text)
		checkNames(t, declared, page, text)
	}
	architecture := readPage(t, "architecture.md")
	checkPackages(t, architecture)
	checkFiles(t, architecture)
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func checkTests(t *testing.T, declared declarations, page, text string) {
	t.Helper()
	for _, name := range testName.FindAllString(text, -1) {
		if !declared.names[name] {
			t.Errorf("%s: %s is not declared in any Go file", page, name)
		}
	}
}

func checkNames(t *testing.T, declared declarations, page, text string) {
	t.Helper()
	for _, match := range codeName.FindAllStringSubmatch(text, -1) {
		if name := match[1]; !settingsName.MatchString(name) && !declared.names[name] {
			t.Errorf("%s: %s is not declared in any Go file", page, name)
		}
	}
}

func checkPackages(t *testing.T, text string) {
	t.Helper()
	_, packages, _ := strings.Cut(text, "\n## Packages\n")
	packages, _, _ = strings.Cut(packages, "\n##")
	rows := packageRow.FindAllStringSubmatch(packages, -1)
	if len(rows) == 0 {
		t.Error("architecture.md: no table of packages")
	}
	for _, row := range rows {
		for _, dir := range row[1:] {
			if _, err := os.Stat(filepath.Join(moduleRoot, "internal", dir)); err != nil && !strings.HasPrefix(dir, "cmd/") {
				t.Errorf("architecture.md: package does not exist: %v", err)
			}
		}
	}
}

func checkFiles(t *testing.T, text string) {
	t.Helper()
	for _, match := range codePath.FindAllStringSubmatch(text, -1) {
		if _, err := os.Stat(filepath.Join(moduleRoot, match[1])); err != nil {
			t.Errorf("architecture.md: file does not exist: %v", err)
		}
	}
}
