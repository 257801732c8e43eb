package gypsumyard

import "context"

// Progress tells how far a transfer has got, in bytes. Size is zero if it is not known.
type Progress struct{ Arrived, Size int64 }

type progressKey struct{}

// WithProgress returns a context for a call to a [Store] or of [PeerClient.FetchObjects].
// The client calls f when a piece of the answer has arrived, so that an answer which
// takes long can be told from none. f must not block.
func WithProgress(ctx context.Context, f func(Progress)) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress calls the function that was given to [WithProgress], if any.
func ReportProgress(ctx context.Context, p Progress) {
	if f, ok := ctx.Value(progressKey{}).(func(Progress)); ok {
		f(p)
	}
}
