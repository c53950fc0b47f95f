package inner

import (
	"encoding/json"

	"dogwoodglade/core/allocator"
)

// Method names on the wire and in metrics. Some differ from the names of the Go methods that send the message.
const (
	methodRequestSlots        = "Ask"
	methodWithdrawSlotRequest = "Withdraw"
	methodReturnGrant         = "Return"
	methodGrant               = "Grant"
	methodRefuseSlotRequest   = "Refuse"
	methodReleaseSlot         = "Release"
)

type requestSlotsParams struct {
	Pool    string
	Request allocator.SlotRequest `json:"Ask"`
}

type withdrawParams struct {
	Pool      string
	RequestID string `json:"Ask"`
	Count     int
}

type returnParams struct {
	Pool  string
	Grant string
}

type grantParams struct{ Grant allocator.Grant }

type refuseParams struct {
	Refusal allocator.Refusal `json:"Refuse"`
}

type releaseParams struct{ Release allocator.Release }

// RequestSlots sends a slot request to the allocator of the pool.
func (p *Peer) RequestSlots(pool string, request allocator.SlotRequest) bool {
	return p.notify(methodRequestSlots, requestSlotsParams{Pool: pool, Request: request})
}

// WithdrawSlotRequest cancels count slots of a slot request, or all remaining ones if count is 0.
func (p *Peer) WithdrawSlotRequest(pool, requestID string, count int) bool {
	return p.notify(methodWithdrawSlotRequest, withdrawParams{Pool: pool, RequestID: requestID, Count: count})
}

// ReturnGrant returns an unused grant to the allocator of the pool.
func (p *Peer) ReturnGrant(pool, grant string) bool {
	return p.notify(methodReturnGrant, returnParams{Pool: pool, Grant: grant})
}

// Grant sends a grant to the owner of the slot request.
func (p *Peer) Grant(g allocator.Grant) bool { return p.notify(methodGrant, grantParams{Grant: g}) }

// RefuseSlotRequest tells the owner of the slot request that no further slots will be granted.
func (p *Peer) RefuseSlotRequest(r allocator.Refusal) bool {
	return p.notify(methodRefuseSlotRequest, refuseParams{Refusal: r})
}

// ReleaseSlot tells the allocator that the slot of a grant is free.
func (p *Peer) ReleaseSlot(r allocator.Release) bool {
	return p.notify(methodReleaseSlot, releaseParams{Release: r})
}

func slotMethods(h SlotHandler) methods {
	return methods{
		methodRequestSlots: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params requestSlotsParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.RequestSlots(p, params.Pool, params.Request)
			return nil
		}),
		methodWithdrawSlotRequest: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params withdrawParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.WithdrawSlotRequest(p, params.Pool, params.RequestID, params.Count)
			return nil
		}),
		methodReturnGrant: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params returnParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.ReturnGrant(p, params.Pool, params.Grant)
			return nil
		}),
		methodGrant: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params grantParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Grant(p, params.Grant)
			return nil
		}),
		methodRefuseSlotRequest: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params refuseParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.RefuseSlotRequest(p, params.Refusal)
			return nil
		}),
		methodReleaseSlot: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params releaseParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.ReleaseSlot(p, params.Release)
			return nil
		}),
	}
}
