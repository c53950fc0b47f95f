package inner

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// largeReply is the size in bytes of the results in a reply from which such replies are encoded one at a time. An
	// encoded reply takes several times the size of its results, which are shared until then.
	largeReply = 64 << 10
	// maxLargeReplies is the number of large replies of a connection beyond which look-ups are refused. Requests wait for a
	// few seconds only, so that later ones would be sent in vain.
	maxLargeReplies = 8
)

// largeReplies limits the large replies of a connection that are encoded or written at a time. Create it with
// newLargeReplies.
type largeReplies struct {
	open atomic.Int32
	turn chan struct{} // capacity 1; holds a value while a reply has its turn
}

func newLargeReplies() *largeReplies { return &largeReplies{turn: make(chan struct{}, 1)} }

// begin waits for the turn of a reply, and returns a function that ends it. A reply that the peer can ask for again may get
// a BusyError instead.
func (l *largeReplies) begin(result any, canAskAgain bool) (end func(), err error) {
	reply, ok := result.(OwnerReply)
	if !ok || reply.resultBytes() <= largeReply {
		return func() {}, nil
	}
	if l.open.Add(1) > maxLargeReplies && canAskAgain {
		l.open.Add(-1)
		return nil, errors.WithStack(&BusyError{Peer: "the owner of the key"})
	}
	l.turn <- struct{}{}
	return func() {
		<-l.turn
		l.open.Add(-1)
	}, nil
}

func (r OwnerReply) resultBytes() int {
	n := 0
	for _, x := range r.Answer.Results {
		n += len(x.Body)
	}
	return n
}
