package demonstrator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	demoKey       = "demo-caller-key"
	demoUpstreams = 4
	demoRequests  = 30
)

// ErrInvariant is returned when a run of the demo broke something that must always hold.
var ErrInvariant = errors.New("demonstrator: an invariant was broken")

// row counts the requests of one rank.
type row struct {
	sent, answered, billed int
}

// Run starts a deployment, sends requests of every rank, and writes one row per rank to w.
func Run(ctx context.Context, w io.Writer) error {
	cfg := configuration()
	var mu sync.Mutex
	rows := map[identifier.Rank]*row{}
	for _, r := range cfg.Ranks {
		rows[r.Name] = &row{}
	}
	d, err := start(ctx, cfg, demoUpstreams, func(b entryserver.Bill) {
		mu.Lock()
		defer mu.Unlock()
		rows[b.Rank].billed++
	})
	if err != nil {
		return err
	}
	for i := range demoRequests {
		kind := cfg.WorkKinds[i%len(cfg.WorkKinds)]
		ok, err := send(ctx, "http://"+d.Entry.String(), kind.Name)
		if err != nil {
			return errors.Join(err, d.stop())
		}
		rows[kind.Rank].sent++
		if ok {
			rows[kind.Rank].answered++
		}
	}
	if err := d.stop(); err != nil {
		return fmt.Errorf("demonstrator: stop: %w", err)
	}
	return report(w, cfg, rows)
}

func report(w io.Writer, cfg *configurer.Configuration, rows map[identifier.Rank]*row) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "rank\tsent\tanswered\tbilled")
	broken := false
	for _, r := range cfg.Ranks {
		v := rows[r.Name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", r.Name, v.sent, v.answered, v.billed)
		broken = broken || v.answered != v.billed
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("demonstrator: write table: %w", err)
	}
	if broken {
		return ErrInvariant
	}
	return nil
}

func send(ctx context.Context, base string, kind identifier.WorkKind) (bool, error) {
	body := []byte(`{"model":"auto","messages":[{"role":"user","content":"Summarise fault note 17."}]}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("demonstrator: build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+demoKey)
	r.Header.Set(decoder.HeaderWorkKind, string(kind))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, fmt.Errorf("demonstrator: send request: %w", err)
	}
	defer resp.Body.Close()
	var answer struct {
		Choices []json.RawMessage `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return false, fmt.Errorf("demonstrator: decode answer: %w", err)
	}
	return resp.StatusCode == http.StatusOK && len(answer.Choices) == 1, nil
}

func configuration() *configurer.Configuration {
	sum := sha256.Sum256([]byte(demoKey))
	rank := func(name identifier.Rank, floor float64) configurer.Rank {
		return configurer.Rank{
			Name: name, Floor: floor, FirstToken: 1400 * time.Millisecond, BetweenTokens: 60 * time.Millisecond,
			Deadline: 30 * time.Second, Worth: 1,
		}
	}
	return &configurer.Configuration{
		Revision: 1,
		Ranks:    []configurer.Rank{rank("urgent", 0.5), rank("normal", 0.2), rank("batch", 0.05)},
		WorkKinds: []configurer.WorkKind{
			{Name: "energisation-order", Rank: "urgent", QualityTarget: 0.9, NonIdempotent: true, MaxTokens: 64},
			{Name: "status-check", Rank: "normal", QualityTarget: 0.7, MaxTokens: 32},
			{Name: "fault-summary", Rank: "batch", QualityTarget: 0.6, MaxTokens: 128},
		},
		Models: []configurer.Model{{Name: "finch-small", Versions: []configurer.Version{{
			Name: "v1", State: configurer.VersionServing, InputPrice: 0.2, OutputPrice: 0.6, PriorQuality: 0.9,
		}}}},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "galway-council", Keys: []configurer.Key{{Name: "first", SHA256: hex.EncodeToString(sum[:])}},
			Allowed:   []configurer.Allowed{{Model: "finch-small"}},
			WorkKinds: []identifier.WorkKind{"energisation-order", "status-check", "fault-summary"}, Weight: 1,
		}},
	}
}
