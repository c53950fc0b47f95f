package ownership

// PeerAvailable reports whether a peer is live and not draining, so that it may be the allocator of a pool.
func (o *Ownership) PeerAvailable(entry string) bool {
	p := o.peers[entry]
	return p != nil && !p.lost && !p.draining
}
