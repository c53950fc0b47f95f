package inner

import "sync"

// pendingPeers are the connections of a server without a handshake, in the order of their arrival.
type pendingPeers struct {
	most  int
	mu    sync.Mutex
	peers []*Peer
}

// add adds a connection, and closes the oldest one if there are too many.
func (s *pendingPeers) add(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= s.most {
		go s.peers[0].Close()
		s.peers = s.peers[1:]
	}
	s.peers = append(s.peers, p)
}

func (s *pendingPeers) remove(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.peers {
		if x == p {
			s.peers = append(s.peers[:i], s.peers[i+1:]...)
			return
		}
	}
}
