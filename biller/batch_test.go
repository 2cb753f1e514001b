package biller_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

func sampleBills(n int) []biller.Bill {
	list := make([]biller.Bill, n)
	for i := range list {
		id := fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15)
		list[i] = biller.Bill{
			ID: id, Request: identifier.Request(id), ClientAccount: identifier.ClientAccount(fmt.Sprint("account-", i%400)),
			WorkKind: "tags", Rank: "urgent", Target: identifier.Target{Model: "finch-small", Version: "v1"},
			Usage: streamer.Usage{PromptTokens: 400 + i*7%90, CompletionTokens: 200 + i*13%80}, Amount: 0.0012, Final: true,
			At: time.Date(2026, 1, 2, 3, 4, 5, i*17_000_003, time.UTC),
		}
	}
	return list
}

// Guards against batches in the present or the former format that cannot be read, truncated or malformed batches that are
// accepted, and compressed batches of more than half their plain size.
func TestBatch(t *testing.T) {
	for _, n := range []int{0, 1, 11, 512} {
		list := sampleBills(n)
		plain, err := json.Marshal(list)
		must.NoError(t, err)
		compressed, err := biller.EncodeBatch(list)
		must.NoError(t, err)
		must.True(t, json.Valid(compressed))
		for _, value := range [][]byte{plain, compressed} {
			got, err := biller.DecodeBatch(value)
			must.NoError(t, err)
			must.Eq(t, list, got)
		}
		t.Logf("%d bills: %d bytes plain, %d compressed", n, len(plain), len(compressed))
		if n > 10 {
			must.Less(t, len(plain)/2, len(compressed))
		}
		for _, malformed := range [][]byte{compressed[:len(compressed)/2], {}, []byte(`{}`), []byte(`"QUJD"`), []byte(`[{"id":1}]`)} {
			_, err := biller.DecodeBatch(malformed)
			must.Error(t, err)
		}
	}
}

// Guards against rows in the former format being skipped when compressed rows exist as well.
func TestReadOldAndNewRows(t *testing.T) {
	p := newPlatform()
	plain, err := json.Marshal(sampleBills(2))
	must.NoError(t, err)
	_, err = p.tableClient.Put(t.Context(), "bill/old/1", 0, json.RawMessage(plain))
	must.NoError(t, err)
	b := biller.New("entry", []biller.Sink{biller.TableSink(p.tableClient)})
	for _, x := range sampleBills(5)[2:] {
		must.NoError(t, b.Record(x))
	}
	must.NoError(t, b.Flush(t.Context()))
	rows, err := p.tableClient.List(t.Context(), "bill/entry/")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.NotEq(t, byte('['), rows[0].Value[0])
	got, err := biller.Read(t.Context(), p.tableClient, p.objectClient, nil)
	must.NoError(t, err)
	must.Eq(t, biller.Union(sampleBills(5)), got)
}
