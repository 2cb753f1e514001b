package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/replayer"
)

// errViolations is returned by a replay that violated a stated outcome or an invariant.
var errViolations = errors.New("replay: a stated outcome or an invariant was violated")

// keyFile is a file with the secret keys of client accounts.
type keyFile struct {
	Keys []accountKey `yaml:"keys" validate:"required,min=1,dive"`
}

type accountKey struct {
	ClientAccount identifier.ClientAccount `yaml:"client-account" validate:"required"`
	Key           string                   `yaml:"key" validate:"required"`
}

func newReplayCommand() *cobra.Command {
	var (
		against                     []string
		keys, configuration, output string
		speed                       float64
	)
	cmd := &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replay a trace against entries and check what its callers see",
		Long: "Send the requests of a trace to entries at their recorded times, and compare what the callers see with the\n" +
			"outcomes that the trace states and with the configuration. Exits with status 1 if one was violated.",
		Example: "  siskinfront replay examples/solas-sraide/trace.ndjson --against 127.0.0.1:7002 \\\n" +
			"    --keys examples/solas-sraide/keys.yaml --configuration examples/solas-sraide/configuration.yaml",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if speed <= 0 {
				return fmt.Errorf("replay: --speed is %v; it must be more than 0", speed)
			}
			player, cfg, trace, err := prepareReplay(args[0], against, keys, configuration)
			if err != nil {
				return err
			}
			player.Speed = speed
			results := player.Play(cmd.Context(), trace)
			if err := cmd.Context().Err(); err != nil {
				return fmt.Errorf("replay: %w", err)
			}
			return writeReplay(cmd, output, trace, cfg, results)
		},
	}
	cmd.Flags().StringSliceVar(&against, "against", nil, "caller addresses of entries; requests are sent to them in turn")
	cmd.Flags().StringVar(&keys, "keys", "", "YAML file with the keys of the client accounts")
	cmd.Flags().StringVar(&configuration, "configuration", "", "YAML file with the configuration in force")
	cmd.Flags().Float64Var(&speed, "speed", 1, "factor by which the trace plays faster")
	addOutputFlag(cmd, &output)
	for _, name := range []string{"against", "keys", "configuration"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			// MarkFlagRequired fails only for an undefined flag, and the flag was defined above.
			panic("replay: " + err.Error())
		}
	}
	return cmd
}

// prepareReplay reads and validates all inputs before any request is sent.
func prepareReplay(
	file string, against []string, keys, configuration string,
) (*replayer.Player, *configurer.Configuration, *replayer.Trace, error) {
	entries := make([]netip.AddrPort, 0, len(against))
	for _, text := range against {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, nil, nil, fmt.Errorf("replay: --against: %w", err)
		}
		entries = append(entries, a)
	}
	cfg, err := readConfiguration(configuration)
	if err != nil {
		return nil, nil, nil, err
	}
	text, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, nil, nil, fmt.Errorf("replay: %w", err)
	}
	trace, err := replayer.Read(bytes.NewReader(text))
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	secrets, err := readKeys(keys, trace)
	if err != nil {
		return nil, nil, nil, err
	}
	player := replayer.NewPlayer(entries, func(a identifier.ClientAccount) string { return secrets[a] })
	return player, cfg, trace, nil
}

// readKeys reads the keys and returns an error if a client account of the trace has none.
func readKeys(file string, trace *replayer.Trace) (map[identifier.ClientAccount]string, error) {
	data, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	var keys keyFile
	d := configurer.Decode(file, data, &keys)
	configurer.ValidateTags(d, &keys)
	secrets := make(map[identifier.ClientAccount]string, len(keys.Keys))
	for i, k := range keys.Keys {
		if _, ok := secrets[k.ClientAccount]; ok && k.ClientAccount != "" {
			d.AddProblem(fmt.Sprintf("keys[%d].client-account", i), "the name %q appears twice", string(k.ClientAccount))
		}
		secrets[k.ClientAccount] = k.Key
	}
	missing := map[identifier.ClientAccount]bool{}
	for i := range trace.Entries {
		name := trace.Entries[i].ClientAccount
		if _, ok := secrets[name]; !ok && !missing[name] {
			missing[name] = true
			d.AddProblem("keys", "the key of client account %q is missing", string(name))
		}
	}
	return secrets, d.Err()
}

// replayRow counts the requests of one rank by result.
type replayRow struct {
	Rank     identifier.Rank `json:"rank"`
	Sent     int             `json:"sent"`
	Answered int             `json:"answered"`
	Refused  int             `json:"refused"`
	// Failed counts requests without any response.
	Failed int `json:"failed"`
	// FirstP95 is the 95th percentile of streams' time to first token, in milliseconds.
	FirstP95 float64 `json:"first-token-p95-ms"`
}

// replayResult is the JSON output of a replay.
type replayResult struct {
	Ranks      []*replayRow `json:"ranks"`
	Violations []string     `json:"violations"`
}

func writeReplay(
	cmd *cobra.Command, output string, trace *replayer.Trace, cfg *configurer.Configuration, results []replayer.Result,
) error {
	result := replayResult{Ranks: countRanks(trace, cfg, results), Violations: []string{}}
	for _, v := range replayer.Verify(trace, cfg, results) {
		result.Violations = append(result.Violations, v.String())
	}
	rows := make([][]string, 0, len(result.Ranks))
	for _, row := range result.Ranks {
		rows = append(rows, []string{
			string(row.Rank), strconv.Itoa(row.Sent), strconv.Itoa(row.Answered), strconv.Itoa(row.Refused), strconv.Itoa(row.Failed),
			strconv.FormatFloat(row.FirstP95, 'f', 1, 64) + "ms",
		})
	}
	columns := []string{"rank", "sent", "answered", "refused", "failed", "first p95"}
	if err := writeRows(cmd.OutOrStdout(), output, result, columns, rows); err != nil {
		return err
	}
	if len(result.Violations) == 0 {
		return nil
	}
	if output == outputTable {
		fmt.Fprintln(cmd.OutOrStdout(), strings.Join(result.Violations, "\n"))
	}
	return fmt.Errorf("%w: %d violations", errViolations, len(result.Violations))
}

// countRanks counts results by rank. It returns one row for each rank of the configuration, then one for each other rank of
// the trace's requests, which is unnamed for requests without a rank.
func countRanks(trace *replayer.Trace, cfg *configurer.Configuration, results []replayer.Result) []*replayRow {
	rows := make([]*replayRow, 0, len(cfg.Ranks)+1)
	for _, r := range cfg.Ranks {
		rows = append(rows, &replayRow{Rank: r.Name})
	}
	firstTokenTimes := map[identifier.Rank][]time.Duration{}
	for i := range results {
		result, e := &results[i], &trace.Entries[i]
		rank := e.Rank(cfg)
		index := slices.IndexFunc(rows, func(r *replayRow) bool { return r.Rank == rank })
		if index < 0 {
			index = len(rows)
			rows = append(rows, &replayRow{Rank: rank})
		}
		row := rows[index]
		row.Sent++
		switch {
		case result.Err != nil:
			row.Failed++
		case result.Status == 200:
			row.Answered++
		default:
			row.Refused++
		}
		if e.Stream && !result.FirstToken.IsZero() {
			firstTokenTimes[rank] = append(firstTokenTimes[rank], result.FirstToken.Sub(result.Sent))
		}
	}
	for _, row := range rows {
		if times := firstTokenTimes[row.Rank]; len(times) > 0 {
			slices.Sort(times)
			row.FirstP95 = float64(times[(len(times)-1)*95/100]) / float64(time.Millisecond)
		}
	}
	return rows
}
