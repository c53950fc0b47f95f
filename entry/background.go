package entry

import (
	"context"
	"sync"
	"time"
)

// background runs the goroutines of an entry.
type background struct {
	ctx     context.Context //nolint:containedctx // ends all goroutines of the entry
	cancel  context.CancelFunc
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

func (b *background) init() { b.ctx, b.cancel = context.WithCancel(context.Background()) }

// start runs do in a goroutine unless the entry has stopped. do must return when its context is cancelled.
func (b *background) start(do func(ctx context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.running.Go(func() { do(b.ctx) })
	}
}

func (b *background) every(interval time.Duration, do func(now time.Time)) {
	b.start(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			do(time.Now())
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (b *background) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.cancel()
	b.running.Wait()
}
