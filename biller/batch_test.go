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

func batch(n int) []biller.Bill {
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

// Guards against a batch that a reader cannot read: as it is written now, as earlier versions wrote it, cut short or
// altered, and against batches that grow beyond half of their plain size.
func TestBatch(t *testing.T) {
	for _, n := range []int{0, 1, 11, 512} {
		list := batch(n)
		plain, err := json.Marshal(list)
		must.NoError(t, err)
		packed, err := biller.EncodeBatch(list)
		must.NoError(t, err)
		must.True(t, json.Valid(packed))
		for _, value := range [][]byte{plain, packed} {
			got, err := biller.DecodeBatch(value)
			must.NoError(t, err)
			must.Eq(t, list, got)
		}
		t.Logf("%d bills: %d bytes plain, %d compressed", n, len(plain), len(packed))
		if n > 10 {
			must.Less(t, len(plain)/2, len(packed))
		}
		for _, bad := range [][]byte{packed[:len(packed)/2], {}, []byte(`{}`), []byte(`"QUJD"`), []byte(`[{"id":1}]`)} {
			_, err := biller.DecodeBatch(bad)
			must.Error(t, err)
		}
	}
}

// Guards against old rows that are lost beside compressed ones.
func TestReadOldAndNewRows(t *testing.T) {
	p := newPlatform()
	plain, err := json.Marshal(batch(2))
	must.NoError(t, err)
	_, err = p.t.Put(t.Context(), "bill/old/1", 0, json.RawMessage(plain))
	must.NoError(t, err)
	b := biller.New("entry", []biller.Sink{biller.TableSink(p.t)})
	for _, x := range batch(5)[2:] {
		must.NoError(t, b.Record(x))
	}
	must.NoError(t, b.Flush(t.Context()))
	rows, err := p.t.List(t.Context(), "bill/entry/")
	must.NoError(t, err)
	must.Len(t, 1, rows)
	must.NotEq(t, byte('['), rows[0].Value[0])
	got, err := biller.Read(t.Context(), p.t, p.o, nil)
	must.NoError(t, err)
	must.Eq(t, biller.Union(batch(5)), got)
}
