package sibling

import (
	"context"

	"sequoialead/core/frame"
)

// QueryRecords queries another entry for the records of the platform's store that it
// has read. It reports false if the entry could not be reached, or did not
// answer before the context ended.
func (s *Siblings) QueryRecords(ctx context.Context, name string, request frame.RecordsRequest) (frame.RecordsResponse, bool) {
	s.mu.Lock()
	p := s.availablePeer(name)
	if p == nil {
		s.mu.Unlock()
		return frame.RecordsResponse{}, false
	}
	p.lastID++
	request.ID = p.lastID
	reply := make(chan frame.RecordsResponse, 1)
	p.pendingQueries[request.ID] = reply
	l := p.link
	s.mu.Unlock()
	l.SendAsync(frame.Frame{RecordsRequest: &request})
	select {
	case answer, ok := <-reply:
		return answer, ok
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.pendingQueries, request.ID)
	return frame.RecordsResponse{}, false
}
