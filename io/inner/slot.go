package inner

import (
	"encoding/json"

	"dogwoodglade/core/allocator"
)

const (
	methodRequestSlots = "Ask"
	methodWithdraw     = "Withdraw"
	methodReturn       = "Return"
	methodGrant        = "Grant"
	methodRefuse       = "Refuse"
	methodRelease      = "Release"
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

// Ask sends a slot request to the allocator of the pool.
func (p *Peer) Ask(pool string, request allocator.SlotRequest) bool {
	return p.notify(methodRequestSlots, requestSlotsParams{Pool: pool, Request: request})
}

// Withdraw cancels count slots of a slot request, or all remaining ones if count is 0.
func (p *Peer) Withdraw(pool, requestID string, count int) bool {
	return p.notify(methodWithdraw, withdrawParams{Pool: pool, RequestID: requestID, Count: count})
}

// Return returns an unused grant to the allocator of the pool.
func (p *Peer) Return(pool, grant string) bool {
	return p.notify(methodReturn, returnParams{Pool: pool, Grant: grant})
}

// Grant sends a grant to the owner of the slot request.
func (p *Peer) Grant(g allocator.Grant) bool { return p.notify(methodGrant, grantParams{Grant: g}) }

// Refuse tells the owner of the slot request that no further slots will be granted.
func (p *Peer) Refuse(r allocator.Refusal) bool {
	return p.notify(methodRefuse, refuseParams{Refusal: r})
}

// Release tells the allocator that the slot of a grant is free.
func (p *Peer) Release(r allocator.Release) bool {
	return p.notify(methodRelease, releaseParams{Release: r})
}

func slotMethods(h SlotHandler) methods {
	return methods{
		methodRequestSlots: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params requestSlotsParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Ask(p, params.Pool, params.Request)
			return nil
		}),
		methodWithdraw: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params withdrawParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Withdraw(p, params.Pool, params.RequestID, params.Count)
			return nil
		}),
		methodReturn: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params returnParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Return(p, params.Pool, params.Grant)
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
		methodRefuse: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params refuseParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Refuse(p, params.Refusal)
			return nil
		}),
		methodRelease: notificationMethod(func(p *Peer, message json.RawMessage) error {
			var params releaseParams
			if err := decodeParams(message, &params); err != nil {
				return err
			}
			h.Release(p, params.Release)
			return nil
		}),
	}
}
