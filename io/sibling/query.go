package sibling

import (
	"context"

	"sequoialead/core/protocol"
)

// QueryRecords queries another entry for the records of the platform's store that it
// has read. It reports false if the entry could not be reached, or did not
// answer before the context ended.
func (s *Siblings) QueryRecords(ctx context.Context, name string, request protocol.RecordsRequest) (protocol.RecordsResponse, bool) {
	s.mu.Lock()
	p := s.availablePeer(name)
	if p == nil {
		s.mu.Unlock()
		return protocol.RecordsResponse{}, false
	}
	p.lastID++
	request.ID = p.lastID
	reply := make(chan protocol.RecordsResponse, 1)
	p.pendingQueries[request.ID] = reply
	l := p.link
	s.mu.Unlock()
	l.SendAsync(protocol.Frame{RecordsRequest: &request})
	select {
	case response, ok := <-reply:
		return response, ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.pendingQueries, request.ID)
	return protocol.RecordsResponse{}, false
}
