package follow

import (
	"context"
	"time"
)

// maxFirstReads bounds the concurrent first reads of a list: one that may take a
// long time, and another in case the platform never answers that one.
const maxFirstReads = 2

// readFirst reads the list for the first time. Its only error is that of ctx. The
// list may be long and all entries may have started at once, so a read isn't
// cancelled after the timeout of a check. Instead, another one is sent then.
func (f *Follower[T]) readFirst(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer f.drain()
	defer stop()
	f.startFirstRead(ctx)
	timer := time.NewTimer(f.checkTimeout())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-f.answers:
			f.pending--
			if a.err == nil {
				f.applyList(a)
				return nil
			}
			f.noteFailure(ctx, a.err)
			timer.Reset(time.Until(f.retryAt))
		case <-timer.C:
			if f.pending < maxFirstReads {
				f.startFirstRead(ctx)
			}
			timer.Reset(f.checkTimeout())
		}
	}
}

// startFirstRead sends a call for the first list.
func (f *Follower[T]) startFirstRead(ctx context.Context) {
	f.startCall(ctx, answer[T]{}, 0, listTimeout)
}

// applyList applies the first list.
func (f *Follower[T]) applyList(a answer[T]) {
	f.noteSuccess(a.sentAt)
	f.since, f.verifiedRevision = a.revision, a.revision
	f.recordRevisions(a.changes)
	f.revision = max(f.revision, f.cfg.OnList(a.changes, a.revision))
	f.reportVerified(a.sentAt)
}
