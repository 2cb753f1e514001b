package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/administrator"
)

// serveAnswers runs demo --serve with the answers in a file and returns the printed values and a function that stops it.
func serveAnswers(t *testing.T, file string) (map[string]string, func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	root := newRootCommand()
	root.SetArgs([]string{"demo", "--serve", "--answers", file})
	root.SetOut(w)
	done := make(chan error, 1)
	go func() { done <- errors.Join(root.ExecuteContext(ctx), w.Close()) }()
	values := map[string]string{}
	lines := bufio.NewScanner(r)
	for len(values) < 7 && lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), ": ")
		must.True(t, ok, must.Sprint(lines.Text()))
		values[name] = value
	}
	return values, func() error {
		cancel()
		return <-done
	}
}

// Guards against steps of README.md that no longer lead a new user to a first response, or that take more than five minutes.
func TestFirstAnswer(t *testing.T) {
	begin := time.Now()
	answers := filepath.Join(t.TempDir(), "answers.yaml")
	example, err := os.ReadFile("examples/muleta-certa/answers.yaml")
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(answers, bytes.Replace(example, []byte("Muleta Certa"), []byte("A New Firm"), 1), 0o600))
	generated, _, err := execute(t, "questionnaire", "--answers", answers)
	must.NoError(t, err)
	configuration := filepath.Join(t.TempDir(), "configuration.yaml")
	must.NoError(t, os.WriteFile(configuration, []byte(generated), 0o600))
	_, _, err = execute(t, "config", "check", configuration)
	must.NoError(t, err)
	values, stop := serveAnswers(t, answers)
	for _, name := range []string{
		"caller-address", "admin-address", "caller-key", "second-caller-key", "operator-key", "model", "work-kind",
	} {
		must.NotEq(t, "", values[name], must.Sprint(name))
	}
	must.NotEq(t, values["caller-key"], values["second-caller-key"])
	for _, key := range []string{values["caller-key"], values["second-caller-key"]} {
		client := openai.NewClient(option.WithBaseURL("http://"+values["caller-address"]+"/v1"), option.WithAPIKey(key))
		for _, model := range []string{"auto", values["model"]} {
			answer, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
				Model:    model,
				Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("nonce-000001")},
			}, option.WithHeader("Siskinfront-Work-Kind", values["work-kind"]))
			must.NoError(t, err)
			must.StrContains(t, answer.Choices[0].Message.Content, "nonce-000001")
		}
	}
	admin := administrator.NewClient(netip.MustParseAddrPort(values["admin-address"]), values["operator-key"])
	cfg, err := admin.Configuration(t.Context(), nil)
	must.NoError(t, err)
	next := cfg.Canonical()
	next.ClientAccounts[0].Weight++
	_, err = admin.Apply(t.Context(), cfg.Revision, next, false)
	must.NoError(t, err)
	must.NoError(t, stop())
	must.Less(t, 5*time.Minute, time.Since(begin))
}

// Guards against README.md listing other commands than those that TestFirstAnswer runs.
func TestReadmeListsTheCommands(t *testing.T) {
	page, err := os.ReadFile("README.md")
	must.NoError(t, err)
	for _, command := range []string{
		"go run . demo\n", "go test ./...\n", "go run . questionnaire --answers answers.yaml > configuration.yaml\n",
		"go run . config check configuration.yaml\n", "go run . demo --serve --answers answers.yaml\n",
	} {
		must.StrContains(t, string(page), command)
	}
}

// Guards against a replay that misses violations, or that reports one in a correct run.
func TestReplayAgainstServe(t *testing.T) {
	const dir = "examples/solas-sraide/"
	values, stop := serveAnswers(t, dir+"answers.yaml")
	args := []string{
		"replay", dir + "trace.ndjson", "--against", values["caller-address"], "--keys", dir + "keys.yaml", "--speed", "2",
		"--output", "json", "--configuration",
	}
	out, _, err := execute(t, append(args, dir+"configuration.yaml")...)
	must.NoError(t, err, must.Sprint(out))
	var result replayResult
	must.NoError(t, json.Unmarshal([]byte(out), &result))
	must.EqOp(t, 3, len(result.Ranks))
	for _, row := range result.Ranks {
		must.Greater(t, 0, row.Answered)
		must.EqOp(t, row.Sent, row.Answered+row.Refused)
	}
	// Verified against a configuration in which versions are withdrawn, their responses are violations. The test withdraws
	// the serving versions, because a candidate serves only a few percent of the requests and perhaps none of these 200.
	text, err := os.ReadFile(dir + "configuration.yaml")
	must.NoError(t, err)
	withdrawn := filepath.Join(t.TempDir(), "configuration.yaml")
	must.NoError(t, os.WriteFile(withdrawn, bytes.ReplaceAll(text, []byte("state: serving"), []byte("state: withdrawn")), 0o600))
	short, err := os.ReadFile(dir + "trace.ndjson")
	must.NoError(t, err)
	args[1] = filepath.Join(t.TempDir(), "trace.ndjson")
	must.NoError(t, os.WriteFile(args[1], bytes.Join(bytes.SplitAfterN(short, []byte("\n"), 201)[:200], nil), 0o600))
	// Requests whose idempotency key was stored in the first replay get the stored response without a run, so the violations
	// come from the other requests.
	out, _, err = execute(t, append(args, withdrawn)...)
	must.ErrorIs(t, err, errViolations, must.Sprint(out))
	must.StrContains(t, out, "withdrawn-version")
	must.NoError(t, stop())
}
