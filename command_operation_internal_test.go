package main

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/administrator"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/dumper"
	"github.com/siskinfront/siskinfront/explainer"
	"github.com/siskinfront/siskinfront/questioner"
)

// execute runs the root command in this process and returns its standard output and standard error.
func execute(t testing.TB, args ...string) (string, string, error) {
	t.Helper()
	var out, errOut bytes.Buffer
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err := root.ExecuteContext(t.Context())
	return out.String(), errOut.String(), err
}

func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against example files that config check rejects or warns about.
func TestConfigCheckAcceptsExamples(t *testing.T) {
	for _, dir := range []string{"solas-sraide", "muleta-certa"} {
		for kind, name := range map[string]string{"configuration": "configuration.yaml", "answers": "answers.yaml"} {
			file := filepath.Join("examples", dir, name)
			out, _, err := execute(t, "config", "check", "--kind", kind, file)
			must.NoError(t, err)
			must.EqOp(t, file+": accepted, no warnings\n", out)
		}
	}
	for _, kind := range []string{"entry", "agent"} {
		_, _, err := execute(t, "config", "check", "--kind", kind, "configurer/testdata/"+kind+".yaml")
		must.NoError(t, err)
	}
}

// Guards against an operator key that is sent without TLS, or to a server whose certificate the CA file does not verify.
func TestConfigWithCAFile(t *testing.T) {
	t.Setenv(operatorKeyVariable, "key")
	var requests atomic.Int32
	trusted := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte("[]")) // A failed write shows up as an error of the client.
	}))
	trusted.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	trusted.StartTLS()
	t.Cleanup(trusted.Close)
	address := strings.TrimPrefix(trusted.URL, "https://")
	file := filepath.Join(t.TempDir(), "ca.pem")
	must.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: trusted.Certificate().Raw}), 0o600))
	_, _, err := execute(t, "config", "history", "--address", address, "--ca-file", file)
	must.NoError(t, err)
	must.EqOp(t, 1, requests.Load())
	_, _, err = execute(t, "config", "history", "--address", address, "--ca-file", file, "--server-name", "example.com")
	must.NoError(t, err)
	for name, args := range map[string][]string{
		"without TLS": {}, "other name": {"--ca-file", file, "--server-name", "other.invalid"},
		"name without file": {"--server-name", "example.com"}, "no certificate": {"--ca-file", "go.mod"},
		"no file": {"--ca-file", file + "x"},
	} {
		_, _, err = execute(t, append([]string{"config", "history", "--address", address}, args...)...)
		must.Error(t, err, must.Sprint(name))
	}
	must.EqOp(t, 2, requests.Load())
	// The certificate of this server is not signed by the authority in the file.
	untrusted := httptest.NewUnstartedServer(http.NotFoundHandler())
	untrusted.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	untrusted.TLS = &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}, MinVersion: tls.VersionTLS13}
	untrusted.StartTLS()
	t.Cleanup(untrusted.Close)
	_, _, err = execute(t, "config", "history", "--address", strings.TrimPrefix(untrusted.URL, "https://"), "--ca-file", file)
	var unknown x509.UnknownAuthorityError
	must.True(t, errors.As(err, &unknown), must.Sprint(err))
}

// selfSigned returns a self-signed certificate for the loopback address.
func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	must.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}
}

// Guards against a rejected file whose problems lack file, line or field, in the table or in JSON.
func TestConfigCheckRefuses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.yaml")
	must.NoError(t, os.WriteFile(file, []byte("revision: 1\nrnks: []\n"), 0o600))
	out, _, err := execute(t, "config", "check", file)
	must.ErrorIs(t, err, errInvalidFile)
	must.RegexMatch(t, regexp.MustCompile(`error +\S+c.yaml +2 +rnks +unknown key`), out)
	out, _, err = execute(t, "config", "check", "--output", "json", file)
	must.ErrorIs(t, err, errInvalidFile)
	var result checkResult
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.False(t, result.Accepted)
	must.EqOp(t, 2, result.Problems[0].Line)
	_, _, err = execute(t, "config", "check", "--kind", "weather", file)
	must.ErrorContains(t, err, "--kind")
}

// Guards against a questionnaire that writes anything but the configuration to standard output.
func TestQuestionnaire(t *testing.T) {
	const dir = "examples/muleta-certa/"
	want, err := os.ReadFile(dir + "configuration.yaml")
	must.NoError(t, err)
	answers, err := os.ReadFile(dir + "answers.yaml")
	must.NoError(t, err)
	changed := filepath.Join(t.TempDir(), "answers.yaml")
	must.NoError(t, os.WriteFile(changed, bytes.Replace(answers, []byte("worth: 0.8"), []byte("worth: 0.9"), 1), 0o600))

	out, _, err := execute(t, "questionnaire", "--answers", dir+"answers.yaml")
	must.NoError(t, err)
	must.EqOp(t, string(want), out)
	out, diff, err := execute(t, "questionnaire", "--answers", changed, "--compare", dir+"configuration.yaml")
	must.NoError(t, err)
	must.StrContains(t, out, "worth: 0.9")
	must.RegexMatch(t, regexp.MustCompile(`changed +ranks `), diff)
	must.EqOp(t, 2, strings.Count(diff, "\n"))
	_, _, err = execute(t, "questionnaire", "--answers", dir+"configuration.yaml")
	must.ErrorContains(t, err, "unknown key")
}

// Guards against an apply that overwrites another operator's change, and against output of show that apply does not accept.
func TestConfigAgainstServer(t *testing.T) {
	a, err := os.ReadFile("examples/solas-sraide/answers.yaml")
	must.NoError(t, err)
	answers, err := questioner.Parse("a", a)
	must.NoError(t, err)
	first, err := questioner.Configuration(answers)
	must.NoError(t, err)
	server := administrator.New(administrator.NewMemoryStore(first, time.Now), administrator.WithLog(slog.New(slog.DiscardHandler)))
	address := serve(t, server)
	keyFile := filepath.Join(t.TempDir(), "key")
	must.NoError(t, os.WriteFile(keyFile, []byte(questioner.ExampleOperatorKey(answers.Team, "duty-engineer")+"\n"), 0o600))
	admin := func(args ...string) (string, error) {
		out, _, err := execute(t, append([]string{"config"}, append(args, "--address", address, "--key-file", keyFile)...)...)
		return out, err
	}
	shown, err := admin("show")
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "c.yaml")
	must.NoError(t, os.WriteFile(file, []byte(strings.Replace(shown, "committed: 60000.0", "committed: 61000.0", 1)), 0o600))

	out, err := admin("apply", "--dry-run", file)
	must.NoError(t, err)
	must.StrContains(t, out, "revision 0, dry run true")
	out, err = admin("apply", file)
	must.NoError(t, err)
	must.RegexMatch(t, regexp.MustCompile(`changed +spend `), out)
	must.StrContains(t, out, "revision 1, dry run false")
	_, err = admin("apply", file)
	must.ErrorContains(t, err, "changed-meanwhile")
	must.ErrorContains(t, err, "the current revision is 1")
	_, err = admin("apply", "--base", "1", file)
	must.NoError(t, err)

	out, err = admin("history")
	must.NoError(t, err)
	must.RegexMatch(t, regexp.MustCompile(`1 +\S+ +duty-engineer +spend`), out)
	out, err = admin("diff", "--from", "0", "--to", "1", "--output", "json")
	must.NoError(t, err)
	var diff []configurer.Difference
	must.NoError(t, json.Unmarshal([]byte(out), &diff))
	must.EqOp(t, "spend", diff[0].Key)
	out, err = admin("show", "--revision", "0")
	must.NoError(t, err)
	must.EqOp(t, shown, out)

	must.NoError(t, os.WriteFile(keyFile, []byte("wrong"), 0o600))
	_, err = admin("show")
	must.ErrorContains(t, err, "invalid-key")
	out, _, err = execute(t, "config", "diff", "examples/solas-sraide/configuration.yaml", file)
	must.NoError(t, err)
	must.RegexMatch(t, regexp.MustCompile(`changed +spend `), out)
}

// Guards against the state and explain commands not printing the state or the decision record of a process.
func TestStateAndExplain(t *testing.T) {
	e := explainer.New(4)
	e.Add(explainer.DecisionRecord{Request: "r-1", Upstream: "drafting-1", Steps: []explainer.Step{{Component: "selector", Decision: "finch@v1", Reason: "cheapest"}}})
	d := dumper.New("entry-1")
	d.Register("explainer", e.State)
	d.Register("dumper", d.State)
	mux := http.NewServeMux()
	mux.Handle(dumper.Path, d)
	mux.Handle(explainer.PathPrefix, e)
	address := serve(t, mux)

	out, _, err := execute(t, "state", address)
	must.NoError(t, err)
	must.RegexMatch(t, regexp.MustCompile(`dumper +parts +2`), out)
	must.RegexMatch(t, regexp.MustCompile(`explainer +capacity +4`), out)
	out, _, err = execute(t, "state", address, "--part", "explainer", "--output", "json")
	must.NoError(t, err)
	must.StrContains(t, out, `"instance": "entry-1"`)
	must.StrNotContains(t, out, "dumper")
	_, _, err = execute(t, "state", address, "--part", "nothing")
	must.ErrorContains(t, err, "no part")

	out, _, err = execute(t, "explain", "r-1", "--address", address)
	must.NoError(t, err)
	must.RegexMatch(t, regexp.MustCompile(`selector +finch@v1 +cheapest`), out)
	_, _, err = execute(t, "explain", "r-2", "--address", address)
	must.ErrorIs(t, err, explainer.ErrNotFound)
}

// Guards against commands without a description or an example, and commands that accept an invalid --output.
func TestCommandsHaveHelp(t *testing.T) {
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		must.NotEq(t, "", cmd.Short, must.Sprint(cmd.CommandPath()))
		must.StrContains(t, cmd.Example, "siskinfront", must.Sprint(cmd.CommandPath()))
		for _, child := range cmd.Commands() {
			visit(child)
		}
	}
	visit(newRootCommand())
	for _, args := range [][]string{
		{"config", "check", "x"}, {"config", "apply", "x"}, {"config", "diff"}, {"config", "history"}, {"state", "127.0.0.1:1"},
		{"explain", "r"}, {"questionnaire"},
	} {
		_, _, err := execute(t, append(args, "--output", "xml")...)
		must.ErrorContains(t, err, "must be table or json", must.Sprint(args))
	}
}

// Guards against pages with commands or flags that do not exist, and against broken links.
func TestDocumentedCommandsExist(t *testing.T) {
	pages, err := filepath.Glob("docs/operate/*.md")
	must.NoError(t, err)
	others, err := filepath.Glob("docs/*.md")
	must.NoError(t, err)
	pages = append(append(pages, others...), "CONTRIBUTING.md")
	commands := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		must.NoError(t, err)
		for _, m := range regexp.MustCompile(`(?m)^ {4,}siskinfront (.+)$`).FindAllStringSubmatch(string(text), -1) {
			line, _, _ := strings.Cut(m[1], " > ")
			cmd, rest, err := newRootCommand().Find(strings.Fields(line))
			must.NoError(t, err, must.Sprint(page, line))
			must.True(t, cmd.Runnable(), must.Sprint(page, line))
			must.NoError(t, cmd.ParseFlags(rest), must.Sprint(page, line))
			must.NoError(t, cmd.ValidateArgs(cmd.Flags().Args()), must.Sprint(page, line))
			commands++
		}
		for _, m := range regexp.MustCompile(`\]\(([\w./-]+\.(?:md|yaml))\)`).FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			must.NoError(t, err, must.Sprint(page))
		}
	}
	must.Greater(t, 20, commands)
}
