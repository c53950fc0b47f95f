// Package shard maps submissions to key shards and orders the owners of a shard by epoch.
//
// It defines shard IDs, epochs and tickets. Entries use it to find the shard of a key, owners to decide whether
// they may start a submission, and agents to refuse starts of an owner that was superseded.
package shard

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Count is the number of key shards of a region. Changing it changes the shard, and so the owner, of every key;
// it is therefore fixed by the protocol version.
const Count = 256

// ID identifies a key shard, from 0 to Count-1.
type ID int

// Of returns the shard of a submission. It does not depend on routes or pools, because an operator may
// point a route at another pool between a submission and its resubmission.
func Of(customer, key string) ID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return ID(h.Sum64() % Count)
}

// Epoch identifies a period during which one process owns a shard, like a term in Raft. The incarnation is unique
// to a process, so two processes never act under the same epoch.
type Epoch struct {
	Counter     uint64
	Incarnation string
}

// Less reports whether e is older than other: epochs are ordered by counter, then by incarnation.
func (e Epoch) Less(other Epoch) bool {
	if e.Counter != other.Counter {
		return e.Counter < other.Counter
	}
	return e.Incarnation < other.Incarnation
}

// IsZero reports whether e is the epoch of a shard that has never had an owner.
func (e Epoch) IsZero() bool { return e == Epoch{} }

// Next returns the first epoch of the given incarnation that is newer than e.
func (e Epoch) Next(incarnation string) Epoch {
	return Epoch{Counter: e.Counter + 1, Incarnation: incarnation}
}

// Separator joins the incarnations of an epoch that was handed over. It sorts before every character of an
// incarnation, so such an epoch sorts directly after the one it was handed over from: no epoch of a takeover lies
// between the two.
const Separator = "+"

// HandedTo returns the epoch under which the incarnation owns the shard after a handover without fencing from the
// owner under e. It is newer than e and older than every epoch of a takeover that is newer than e.
func (e Epoch) HandedTo(incarnation string) Epoch {
	return Epoch{Counter: e.Counter, Incarnation: e.Incarnation + Separator + incarnation}
}

// HandoverCount returns the number of handovers since the takeover that the epoch derives from.
func (e Epoch) HandoverCount() int { return strings.Count(e.Incarnation, Separator) }

// OwnerIncarnation returns the incarnation of the process that owns the shard under the epoch.
func (e Epoch) OwnerIncarnation() string {
	return e.Incarnation[strings.LastIndex(e.Incarnation, Separator)+1:]
}

// DescendsFrom reports whether e was handed over, directly or through others, from the owner under other.
func (e Epoch) DescendsFrom(other Epoch) bool {
	return e.Counter == other.Counter && strings.HasPrefix(e.Incarnation, other.Incarnation+Separator)
}

// String formats the epoch as "counter.incarnation".
func (e Epoch) String() string {
	return strconv.FormatUint(e.Counter, 10) + "." + e.Incarnation
}

// Ticket is issued to a caller for a submission. The owner that issued it may start the submission; any other
// process may do so only if it knows every start of the shard.
type Ticket struct {
	Shard ID
	Epoch Epoch
}

// IsZero reports whether the ticket is absent.
func (t Ticket) IsZero() bool { return t.Epoch.IsZero() }

// String formats the ticket as "shard.counter.incarnation", or as the empty string if it is absent.
func (t Ticket) String() string {
	if t.IsZero() {
		return ""
	}
	return strconv.Itoa(int(t.Shard)) + "." + t.Epoch.String()
}

// TicketError reports a malformed ticket.
type TicketError struct{ Text string }

// Error implements error.
func (e *TicketError) Error() string {
	return "parse ticket " + strconv.Quote(e.Text) + ": want shard.counter.incarnation"
}

// ParseTicket parses the form that Ticket.String returns. The empty string is the absent ticket.
func ParseTicket(text string) (Ticket, error) {
	if text == "" {
		return Ticket{}, nil
	}
	parts := strings.SplitN(text, ".", 3)
	if len(parts) != 3 || parts[2] == "" {
		return Ticket{}, errors.WithStack(&TicketError{Text: text})
	}
	id, err := strconv.Atoi(parts[0])
	if err != nil || id < 0 || id >= Count {
		return Ticket{}, errors.WithStack(&TicketError{Text: text})
	}
	counter, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || counter == 0 {
		return Ticket{}, errors.WithStack(&TicketError{Text: text})
	}
	return Ticket{Shard: ID(id), Epoch: Epoch{Counter: counter, Incarnation: parts[2]}}, nil
}

// Fence raises the lowest epoch that an agent accepts for a shard.
type Fence struct {
	Shard ID
	Epoch Epoch
}
