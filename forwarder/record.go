package forwarder

import (
	"context"
	"log/slog"
	"strconv"

	"github.com/siskinfront/siskinfront/meter"
)

// defaultUrgency is the urgency that upstreams assume for a request without a rank.
const defaultUrgency = 5

// maxLoggedAttempts bounds the attempts in a log line, of which the first and the last half are logged.
const maxLoggedAttempts = 8

// record logs a request: its outcome, its attempts, and what they were decided on, such as the revision of the configuration.
func (f *Forwarder) record(q *request, outcome string, cause error) {
	now := f.Now()
	attrs := make([]slog.Attr, 0, 12)
	attrs = append(attrs, slog.String("request", q.id), slog.String("outcome", outcome), slog.Int("status", q.status),
		slog.Duration("took", now.Sub(q.arrived)))
	if q.table != nil {
		attrs = append(attrs, slog.Uint64("revision", q.table.Revision))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.Int("rank", q.rank), slog.String("service", string(q.service)),
			slog.String("account", string(q.account)), slog.String("fingerprint", q.fingerprint.String()))
		if q.route.HasSessions {
			attrs = append(attrs, slog.Float64("pressure", q.pressure), slog.String("session", strconv.FormatUint(q.sessionHash, 16)),
				slog.String("prefix", strconv.FormatUint(q.prefixHash, 16)), slog.String("parts", q.loggedParts()))
		}
	}
	if len(q.attempts) > maxLoggedAttempts {
		attrs = append(attrs, slog.Int("attempts", len(q.attempts)))
	}
	for i := range q.attempts {
		if i >= maxLoggedAttempts/2 && i < len(q.attempts)-maxLoggedAttempts/2 {
			continue
		}
		a := &q.attempts[i]
		attrs = append(attrs, slog.Group("attempt-"+strconv.Itoa(i+1), slog.String("upstream", string(a.upstream)),
			slog.String("model", string(a.model)), slog.Duration("after", a.beganAt.Sub(q.arrived)), slog.Duration("took", a.took),
			slog.Duration("first", a.timeToHead), slog.Duration("pause", a.longestPause), slog.Duration("pace", a.pace),
			slog.Int("status", a.status), slog.Int("events", a.events), slog.Int("confidence", a.confidence), slog.Int("running", a.running),
			slog.Int("waiting", a.waiting), a.evidenceAttr(), slog.String("outcome", string(a.outcome))))
	}
	if q.behind > 0 || q.pausedReads > 0 {
		attrs = append(attrs, slog.Group("slow-caller", slog.Duration("behind", q.behind), slog.Int("held-bytes", q.mostBacklog),
			slog.Int("reads-paused", q.pausedReads)))
	}
	if q.isTrial {
		attrs = append(attrs, slog.Bool("trial", true))
	}
	if q.blockedPart != 0 {
		attrs = append(attrs, slog.String("blocked-part", q.blockedPart.String()))
	}
	if q.denial != "" {
		attrs = append(attrs, slog.String("no-retry", string(q.denial)))
	}
	if q.connectionEnd != "" {
		attrs = append(attrs, slog.String("connection", q.connectionEnd))
	}
	if cause != nil {
		attrs = append(attrs, slog.String("error", cause.Error()))
	}
	f.log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
	if q.route != nil {
		f.meter.Observe(meter.AllLatencies().Request, strconv.Itoa(q.rank), now.Sub(q.arrived))
	}
}

// recordCanceled records the end of a request whose connection ended first: the caller left, or this entry cut the connection.
func (f *Forwarder) recordCanceled(ctx context.Context, q *request, err error) {
	reason, byCaller := f.ConnectionEnd(ctx)
	q.connectionEnd = reason
	if reason != "" && !byCaller {
		f.counters.connectionsCut.Add(1)
		f.record(q, "connection-cut", err)
		return
	}
	f.counters.callersLeft.Add(1)
	f.record(q, "caller-left", err)
}

// observeFirstByte records the time to the first byte or event.
func (f *Forwarder) observeFirstByte(q *request) {
	took := f.Now().Sub(q.arrived)
	f.meter.Observe(meter.AllLatencies().FirstToken, strconv.Itoa(q.rank), took)
	f.observeFirstDelay(q, took)
}
