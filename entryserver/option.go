package entryserver

import (
	"context"
	"log/slog"
	"time"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/streamer"
)

// Option configures a Server.
type Option func(*Server)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(s *Server) { s.Now = now }
}

// WithLog sets the log of requests that failed for a fault of the program.
func WithLog(log *slog.Logger) Option {
	return func(s *Server) { s.log = log }
}

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(f func() *configurer.Configuration) Option {
	return func(s *Server) { s.Configuration = f }
}

// WithSelect sets the selection of the version.
func WithSelect(f func(*configurer.Configuration, selector.Query) (selector.Decision, error)) Option {
	return func(s *Server) { s.Select = f }
}

// WithPin sets the function that pins sessions to versions.
func WithPin(f func(context.Context, identifier.ClientAccount, identifier.Session, identifier.Target, uint64) (
	identifier.Target, error,
)) Option {
	return func(s *Server) { s.Pin = f }
}

// WithChoose sets the choice of the upstream.
func WithChoose(f func(context.Context, ChoiceInput) (Upstream, error)) Option {
	return func(s *Server) { s.Choose = f }
}

// WithClaim sets the function that claims non-idempotent requests.
func WithClaim(f func(context.Context, identifier.ClientAccount, string, [32]byte, identifier.Request) (
	Claim, error,
)) Option {
	return func(s *Server) { s.Claim = f }
}

// WithRecordBill sets the receiver of bills.
func WithRecordBill(f func(biller.Bill)) Option {
	return func(s *Server) { s.RecordBill = f }
}

// WithRetry sets the retry budget.
func WithRetry(allow, allowEarly func() bool, recordSuccess func()) Option {
	return func(s *Server) { s.AllowRetry, s.AllowEarlyRetry, s.RecordSuccess = allow, allowEarly, recordSuccess }
}

// WithExplain sets the receiver of decision records.
func WithExplain(f func(DecisionRecord)) Option {
	return func(s *Server) { s.Explain = f }
}

// WithWaitRating sets the function that waits for the rating of an answer; without it no request cascades.
func WithWaitRating(f func(context.Context, RatingInput) (float64, error)) Option {
	return func(s *Server) { s.WaitRating = f }
}

// WithOnAnswer sets the receiver of complete answers, which it may submit for rating.
func WithOnAnswer(f func(RatingInput)) Option {
	return func(s *Server) { s.OnAnswer = f }
}

// WithReserve sets the function that reserves spend.
func WithReserve(f func(amount float64) (settle func(actual float64), err error)) Option {
	return func(s *Server) { s.Reserve = f }
}

// WithAllowTokens sets the check of the token limits of client accounts.
func WithAllowTokens(f func(*configurer.ClientAccount, int, time.Time) (time.Time, bool)) Option {
	return func(s *Server) { s.AllowTokens = f }
}

// WithRedirect sets the versions that a request may run on while others refuse it, the check whether a pool takes requests,
// and the receiver of refusals.
func WithRedirect(
	alternatives func(*configurer.Configuration, selector.Query) []identifier.Target,
	allow func(redirector.Pool) bool, recordRefusal func(redirector.Pool),
) Option {
	return func(s *Server) { s.Alternatives, s.AllowRedirect, s.RecordRefusal = alternatives, allow, recordRefusal }
}

// WithAttempts sets the functions that are called when an attempt begins, ends or reports load.
func WithAttempts(
	begin func(identifier.Upstream), end func(Attempt), report func(identifier.Upstream, streamer.Load),
) Option {
	return func(s *Server) { s.BeginAttempt, s.EndAttempt, s.ReportLoad = begin, end, report }
}

// WithStreams sets the client that opens streams at agents.
func WithStreams(c *streamer.Client) Option {
	return func(s *Server) { s.streams = c }
}
