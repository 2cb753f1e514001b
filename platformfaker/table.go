package platformfaker

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/siskinfront/siskinfront/storer"
)

const (
	// TableReadsPerSecond is the rate of reads that the platform specifies for its table.
	TableReadsPerSecond = 2000
	// TableWritesPerSecond is the rate of writes that the platform specifies for its table.
	TableWritesPerSecond = 400
	// maxRememberedTransactions is the number of latest transactions among which the table recognises a repeated ID.
	maxRememberedTransactions = 100_000
)

// Table fakes the transactional table; it is an http.Handler and safe for concurrent use.
type Table struct {
	Faults
	// ForgetTransactions makes the table apply a transaction again when its ID is repeated.
	ForgetTransactions bool

	http.Handler
	mu           sync.Mutex
	rows         map[string]storer.Row
	version      uint64
	applied      map[string]uint64
	appliedOrder []string
	// OnApply is called once for each applied transaction, in the order of their versions.
	OnApply func(storer.Transaction, uint64)
}

// NewTable returns an empty table without rate limits unless WithRates sets them.
func NewTable(opts ...Option) *Table {
	t := &Table{rows: map[string]storer.Row{}, applied: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key}", t.handleGet)
	mux.HandleFunc("PUT /table/{key}", t.handlePut)
	mux.HandleFunc("DELETE /table/{key}", t.handlePut)
	mux.HandleFunc("POST /table/transact", t.handleTransact)
	mux.HandleFunc("GET /table", t.handleList)
	t.Handler = newFaultInjector(&t.Faults, mux, opts)
	return t
}

// Row returns a row, bypassing faults and rate limits.
func (t *Table) Row(key string) (storer.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

// Rows returns the rows whose keys have a prefix, sorted by key, bypassing faults and rate limits.
func (t *Table) Rows(prefix string) []storer.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []storer.Row{}
	for k, row := range t.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (t *Table) handleGet(w http.ResponseWriter, r *http.Request) {
	row, ok := t.Row(r.PathValue("key"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, row)
}

func (t *Table) handleList(w http.ResponseWriter, r *http.Request) {
	reply(w, t.Rows(r.URL.Query().Get("prefix")))
}

func (t *Table) handlePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	tx := storer.Transaction{Writes: []storer.Write{{Key: key, Delete: r.Method == http.MethodDelete}}}
	if r.Method == http.MethodPut && json.NewDecoder(r.Body).Decode(&tx.Writes[0].Value) != nil {
		http.Error(w, "malformed value", http.StatusBadRequest)
		return
	}
	if m := r.Header.Get("If-Match"); m != "" {
		v, err := strconv.ParseUint(m, 10, 64)
		if err != nil {
			http.Error(w, "malformed If-Match", http.StatusBadRequest)
			return
		}
		tx.Conditions = []storer.Condition{{Key: key, Version: v}}
	}
	t.applyAndReply(w, tx)
}

func (t *Table) handleTransact(w http.ResponseWriter, r *http.Request) {
	var tx storer.Transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || tx.ID == "" {
		http.Error(w, "malformed transaction", http.StatusBadRequest)
		return
	}
	t.applyAndReply(w, tx)
}

func (t *Table) applyAndReply(w http.ResponseWriter, tx storer.Transaction) {
	v, ok := t.apply(tx)
	if !ok {
		http.Error(w, "condition does not hold", http.StatusConflict)
		return
	}
	reply(w, storer.TransactionReply{Version: v})
}

func (t *Table) apply(tx storer.Transaction) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.applied[tx.ID]; ok && !t.ForgetTransactions {
		return v, true
	}
	for _, c := range tx.Conditions {
		// A row that does not exist has version 0.
		if t.rows[c.Key].Version != c.Version {
			return 0, false
		}
	}
	t.version++
	for _, x := range tx.Writes {
		if x.Delete {
			delete(t.rows, x.Key)
			continue
		}
		t.rows[x.Key] = storer.Row{Key: x.Key, Value: x.Value, Version: t.version}
	}
	if tx.ID != "" {
		t.applied[tx.ID] = t.version
		t.appliedOrder = append(t.appliedOrder, tx.ID)
		if len(t.appliedOrder) > maxRememberedTransactions {
			delete(t.applied, t.appliedOrder[0])
			t.appliedOrder = t.appliedOrder[1:]
		}
	}
	if t.OnApply != nil {
		t.OnApply(tx, t.version)
	}
	return t.version, true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encode fails if the client has disconnected, which then sees a lost reply.
	_ = json.NewEncoder(w).Encode(v)
}

// replyCompressed replies with the content encoding gzip if the client accepts it.
func replyCompressed(w http.ResponseWriter, r *http.Request, v any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		reply(w, v)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	// Encode and Close fail if the client has disconnected, which then sees a lost reply.
	_ = json.NewEncoder(z).Encode(v)
	_ = z.Close()
}
